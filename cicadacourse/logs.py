"""The kinds of structured log lines of an instance, declared in one place.

Each line is one JSON object with ``time``, ``level``, ``instance``, ``part``, ``event``
and the event's own fields. Fields named ``…_s`` are seconds; ``request`` is the id that
the caller sent; ``reason`` is a label from a closed list, or the text of an error.

Not declared here are the free-text lines of libraries, of exceptions and of the level
debug, and the line that reports lost lines, which the handler writes itself.
"""

from __future__ import annotations

from typing import Any

import attrs
import logbook

from cicadacourse.util.logging import get_logger

EVENTS_BY_TEXT: dict[str, LogEvent] = {}
_logger_by_part: dict[str, logbook.Logger] = {}


@attrs.frozen
class LogEvent:
    """One kind of log line.

    :param text: the fixed text of the field ``event``.
    :param part: the part of the instance that logs it.
    :param help: when it is logged and what its fields hold.
    :param is_warning: whether it has the level warning, which has a higher limit
        of lines per flush period.
    """

    text: str
    part: str
    help: str
    is_warning: bool = False


def log(event: LogEvent, **fields: Any) -> None:
    """Logs one line with its fields; never blocks."""
    logger = _logger_by_part.get(event.part)
    if logger is None:
        logger = _logger_by_part[event.part] = get_logger(event.part)
    write = logger.warning if event.is_warning else logger.info
    write(event.text, extra=fields)


def _declare(part: str, text: str, help: str, is_warning: bool = False) -> LogEvent:
    event = EVENTS_BY_TEXT[text] = LogEvent(text, part, help, is_warning)
    return event


INSTANCE_STARTED = _declare("instance", "instance started", "All services are running.")
INSTANCE_LEAVING = _declare(
    "instance",
    "instance leaves",
    "A termination signal was received; `in_progress` requests are given time to end.",
)
INSTANCE_STOPPED = _declare(
    "instance", "instance stopped", "All services have stopped; the process exits."
)
INSTANCE_FAILED = _declare(
    "instance",
    "instance could not run",
    "`reason` is the system's error, such as an address that can't be bound.",
    True,
)
RELOAD_IGNORED = _declare(
    "instance",
    "settings unchanged until the next start",
    "SIGHUP was received; settings are read only at the start.",
)
READY = _declare(
    "probes", "ready", "The readiness probe succeeds; requests are accepted."
)
NOT_READY = _declare(
    "probes",
    "not ready",
    "The readiness probe fails; the instance is shutting down, or its configuration was"
    " superseded long ago.",
)

CONFIGURATION_IN_FORCE = _declare(
    "catalog",
    "configuration in force",
    "`version` is in force from now on; `source` is the store or an instance.",
)
CONFIGURATION_SUPERSEDED = _declare(
    "catalog",
    "configuration superseded",
    "The instance `source` has the version `newer`; `version` is in force here until"
    " the newer one arrives.",
)
CONFIGURATION_REFUSED = _declare(
    "catalog",
    "configuration refused",
    "A version could not be parsed and is ignored.",
    True,
)
CONFIGURATION_ENTRY_REFUSED = _declare(
    "catalog",
    "entry of the configuration refused",
    "A malformed row of `table`, or the part that `reason` names, is ignored; the rest"
    " is in force.",
    True,
)
ENDPOINT_LISTED = _declare(
    "registry",
    "endpoint listed",
    "An endpoint is new, or its `state`, `address` or start time changed.",
)
ENDPOINT_GONE = _declare(
    "registry", "endpoint gone", "`endpoint` was removed and gets no more requests."
)
ENDPOINT_ENTRY_REFUSED = _declare(
    "registry",
    "entry refused",
    "An entry of the registry or of the list of instances could not be parsed; the"
    " endpoint or instance that it describes is not used.",
    True,
)
REGISTRY_READ = _declare(
    "registry", "registry read", "All registry entries were read from the store."
)
REGISTRY_FETCHED = _declare(
    "relay",
    "registry fetched",
    "All registry entries were received from the instance `source`.",
)
FETCH_FAILED = _declare(
    "relay",
    "fetch failed",
    "The `subject` (configuration or registry) was not received from the instance"
    " `source` because of `reason`; at most one line a second for each of both.",
    True,
)
STORE_LOST = _declare(
    "store",
    "store lost",
    "Reads of `topic` fail; the last known records stay in use.",
    True,
)
STORE_RECOVERED = _declare(
    "store", "store regained", "Reads of `topic` succeed again after `lost_for_s`."
)
STORE_RESTORED = _declare(
    "store",
    "store restored",
    "The store has come back from a copy and lost its latest records; `era` counts such"
    " times. All topics are read again, and this instance announces itself again.",
    True,
)
RECORDS_TRIMMED = _declare(
    "store",
    "records were deleted before they were read",
    "All of `topic` is read again.",
)
INSTANCES_NOT_READ = _declare(
    "instances",
    "instances not read",
    "The list of instances could not be read from the store.",
    True,
)
INSTANCE_ANNOUNCED = _declare(
    "instances", "instance announced", "The store holds this instance's address."
)
INSTANCE_NOT_ANNOUNCED = _declare(
    "instances",
    "instance not announced",
    "The write to the store failed and is retried.",
    True,
)
MEMBER_LIVE = _declare(
    "membership", "member joined", "The instance `member` at `address` is live."
)
MEMBER_DIED = _declare(
    "membership", "member dead", "The instance `member` left or did not respond.", True
)
MEMBER_SUSPECTED = _declare(
    "membership",
    "member suspected",
    "The instance `member` did not respond; it may refute the suspicion before it is"
    " declared dead.",
    True,
)
MEMBER_SUSPICION_CLEARED = _declare(
    "membership", "member no longer suspected", "The instance `member` is alive."
)
RESUMED = _declare(
    "membership",
    "resumed after a pause",
    "This instance did not run for `pause_s`; it synchronises with another member"
    " before it acts on its own view.",
    True,
)
REPORT_REFUSED = _declare(
    "load", "report refused", "A malformed load report was ignored.", True
)

REQUEST_QUEUED = _declare(
    "placement",
    "request waits",
    "No endpoint of `pool` has free capacity, or a long prompt waits for its turn;"
    " `usable` is the number of endpoints that are known and not ejected.",
)
REQUEST_MOVED = _declare(
    "placement",
    "request moved to another pool",
    "`former_pool`, to which the request was admitted, has no live endpoint; the"
    " version `configuration` allows `pool` instead.",
)
PLACEMENT_YIELDED = _declare(
    "placement",
    "placement yielded to another instance",
    "Both instances chose the same engines at once; the request is queued again.",
)
ENDPOINT_EJECTED = _declare(
    "placement",
    "endpoint set aside",
    "`endpoint` is ejected for `for_s` because of `reason`; it gets no requests unless"
    " too many of its pool are ejected.",
    True,
)
ENDPOINT_READMITTED = _declare(
    "placement", "endpoint back", "`endpoint` is no longer ejected."
)
ENDPOINT_DECLINES = _declare(
    "placement",
    "endpoint declines requests",
    "`endpoint` has refused a request and wants no other from this instance for"
    " `for_s`, in which it gets none.",
    True,
)
ENDPOINT_ACCEPTS = _declare(
    "placement",
    "endpoint accepts requests again",
    "The time for which `endpoint` wanted no requests is over.",
)
ENDPOINT_LEAVES = _declare(
    "placement",
    "endpoint states that it leaves",
    "`endpoint` gets no request any more, until another process of it starts; `source`"
    " is `response`, or `peers` if another instance received the statement `age_s`"
    " ago.",
    True,
)
ENDPOINT_RETRY_AFTER_REFUSED = _declare(
    "placement",
    "endpoint retry time refused",
    "`endpoint` has refused a request and states a time that can't be read; it is"
    " ignored.",
    True,
)
FACTS_REFUSED = _declare(
    "evidence",
    "facts refused",
    "Observations that came with a load report of `source` could not be read.",
    True,
)
FACTS_NOT_FETCHED = _declare(
    "evidence",
    "facts not fetched",
    "After a start or a pause, no other instance told its observations in time; they"
    " come with load reports later.",
)
ENDPOINT_LIMIT_CHANGED = _declare(
    "limits",
    "endpoint limit changed",
    "`endpoint` names `limit` requests per second from all instances together, null if"
    " it names none any more; `source` is `response`, or `peers` if another instance"
    " received it `age_s` ago.",
    True,
)
PERMIT_UNAVAILABLE = _declare(
    "limits",
    "permit unavailable",
    "The instance `source`, which grants the permits of a shared rate, did not reply;"
    " another one is asked.",
    True,
)
ENDPOINT_LIMIT_REFUSED = _declare(
    "limits",
    "endpoint limit refused",
    "`endpoint` names a limit that can't be read; the last one stays in force.",
    True,
)

PART_BLAMED = _declare(
    "quarantine",
    "prompt parts blamed",
    "`endpoint` has crashed under a request of this instance that had got no event;"
    " `parts` of its prompt are blamed, `has_begun` is whether the response had begun.",
    True,
)
PART_SUSPECTED = _declare(
    "quarantine",
    "prompt part suspected",
    "Requests with `prompt_part` are sent by all instances together once in"
    " `interval_s`; `weight` counts the crashes that it is blamed for.",
    True,
)
PART_CLEARED = _declare(
    "quarantine",
    "prompt part cleared",
    "`prompt_part` is no longer suspected: a request with it has succeeded, another"
    " part explains the crashes, or they are long ago.",
)

REQUEST_BLAMED = _declare(
    "quarantine",
    "request blamed",
    "`endpoint` has crashed under a request of this instance that had got no event;"
    " requests with `digest` are blamed, `has_begun` is whether the response had"
    " begun.",
    True,
)
REQUEST_SUSPECTED = _declare(
    "quarantine",
    "request suspected",
    "Requests with `digest` are sent by all instances together once in `interval_s`;"
    " `weight` counts the crashes that they are blamed for. With `turn`, the first one"
    " is sent at once, and those with the same `turn` wait for its outcome.",
    True,
)
REQUEST_CLEARED = _declare(
    "quarantine",
    "request cleared",
    "Requests with `digest` are no longer suspected: one has succeeded, another request"
    " explains the crashes, or they are long ago.",
)

REQUEST_SENT = _declare(
    "forward",
    "request sent",
    "Attempt number `attempt` at `endpoint`, with its load as known here: `writers`"
    " (decoding streams) and `calls` in progress, `backlog_s` of prefill;"
    " `configuration` is the version in force, `configuration_age_s` the time since it"
    " came into force, `registry_age_s` the time since the registry was last read;"
    " `expected_s` is the estimated time to the first event, `time_left_s` is the time"
    " until the whole response is due, `waited_s` is the time since arrival; `digest`"
    " is the same for each request of the same method, host, target, organisation and"
    " body.",
)
ATTEMPT_FAILED = _declare(
    "forward",
    "attempt failed",
    "`endpoint` gave no usable response because of `reason`; `may_have_run` is whether"
    " it may have executed the request. If the exchange broke, `progress` is `waiting`"
    " (no response), `begun` (no complete event of it) or `streaming`, and `parts` are"
    " the parts of the prompt that other prompts may share; `digest` is as in `request"
    " sent`.",
    True,
)
RETRY_BUDGET_EXHAUSTED = _declare(
    "forward",
    "retry budget exhausted",
    "The request is not retried; this instance has used its share of the retry budget"
    " of `pool`.",
    True,
)
REQUEST_HEDGED = _declare(
    "forward",
    "request hedged",
    "No data came for `silent_s` from `endpoints`, at which the request is in progress;"
    " an attempt at another endpoint of `pool` is started beside them.",
)
HEDGE_DENIED = _declare(
    "forward",
    "hedge denied",
    "The attempt beside those in progress was not sent because of `reason`; they go on"
    " and another may be tried later.",
)
ATTEMPT_SUPERSEDED = _declare(
    "forward",
    "attempt superseded",
    "The attempt at `endpoint`, without data for `silent_s`, is cancelled as `chosen`"
    " sent data first; `is_blamed` is whether the silence counts against the endpoint.",
)
REQUEST_ENDED = _declare(
    "gateway",
    "request ended",
    "`outcome` is `answered` or the error's label; `sends` is the number of attempts"
    " sent, `took_s` the total time; streams add `first_event_s` and `longest_gap_s`.",
)
REQUEST_REFUSED = _declare(
    "gateway",
    "request refused",
    "The caller received `status`, `reason` and, if set, the delay `retry_after_s`"
    " before a retry. `configuration` was in force, `newest_configuration` is the"
    " newest one that this instance had heard of, and `confirmed_age_s` is the time"
    " since it knew that there was no newer one.",
    True,
)
STREAM_ABORTED = _declare(
    "gateway",
    "stream broken off",
    "A stream was aborted after its response had begun.",
    True,
)
CALLER_DISCONNECTED = _declare(
    "ingress",
    "caller left",
    "The caller closed its connection; the request is cancelled.",
)
CONNECTIONS_CLOSED = _declare(
    "ingress",
    "callers' connections closed",
    "`count` connections waited for a request for too long, the longest `waited_s`;"
    " `reason` is `idle` (nothing of a request came) or `slow_head` (only a part of its"
    " head came), `callers` are the addresses of some of them. One line tells of all"
    " that are closed at once.",
)
REQUEST_FAILED = _declare(
    "ingress",
    "request failed",
    "An unexpected error, a malformed request, or a request that reached an instance"
    " too late in its shutdown or was not placed when that ended (`leaving`).",
    True,
)
KV_CACHE_RESERVED = _declare(
    "reservations",
    "KV cache reserved",
    "All `tickets` (reservations) of a prompt are held, `tokens` in total.",
)
KV_CACHE_NOT_RESERVED = _declare(
    "reservations",
    "KV cache not reserved",
    "The engines `refused_by` did not grant a reservation.",
    True,
)
RESERVATION_NOT_RENEWED = _declare(
    "reservations",
    "KV-cache reservation not renewed",
    "It expires at `endpoint` unless the next renewal succeeds.",
    True,
)
DECODE_ENGINE_DEAD = _declare(
    "reservations",
    "decode engine dead",
    "`endpoint` accepts no connections; its exchanges are aborted.",
    True,
)
RESERVATION_LEFT_TO_EXPIRE = _declare(
    "reservations",
    "KV-cache reservation left to expire",
    "The release of `ticket` failed at `endpoint`.",
    True,
)
