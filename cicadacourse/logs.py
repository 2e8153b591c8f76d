"""Every structured log line that an instance writes, declared in one place.

Each line is one JSON object with ``time``, ``level``, ``instance``, ``part``, ``event``
and the event's own fields. Fields named ``…_s`` are seconds; ``request`` is the id that
the caller sent; ``reason`` is a label of a closed list.
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
    """One kind of line.

    :param text: the fixed sentence under ``event``.
    :param part: the part of the instance that writes it.
    :param help: when it is written and what its fields hold.
    :param is_warning: whether it is kept when ordinary lines are dropped.
    """

    text: str
    part: str
    help: str
    is_warning: bool = False


def log(event: LogEvent, **fields: Any) -> None:
    """Writes one line; never waits."""
    logger = _logger_by_part.get(event.part)
    if logger is None:
        logger = _logger_by_part[event.part] = get_logger(event.part)
    write = logger.warning if event.is_warning else logger.info
    write(event.text, extra=fields)


def _declare(part: str, text: str, help: str, is_warning: bool = False) -> LogEvent:
    event = EVENTS_BY_TEXT[text] = LogEvent(text, part, help, is_warning)
    return event


INSTANCE_STARTED = _declare("instance", "instance started", "All services run.")
INSTANCE_LEAVING = _declare(
    "instance", "instance leaves", "SIGTERM came; `in_progress` requests are served."
)
INSTANCE_STOPPED = _declare("instance", "instance stopped", "The process ends.")
INSTANCE_FAILED = _declare(
    "instance", "instance could not run", "An address could not be had.", True
)
RELOAD_IGNORED = _declare(
    "instance", "settings unchanged until the next start", "SIGHUP came."
)
READY = _declare("probes", "ready", "Requests are taken from now on.")
NOT_READY = _declare("probes", "not ready", "The instance leaves.")

CONFIGURATION_IN_FORCE = _declare(
    "catalog",
    "configuration in force",
    "A newer `version` holds from now on; `source` is the store or an instance.",
)
CONFIGURATION_REFUSED = _declare(
    "catalog", "configuration refused", "A version that can't be read.", True
)
CONFIGURATION_ENTRY_REFUSED = _declare(
    "catalog",
    "entry of the configuration refused",
    "A row of a `table` is left out; the others hold.",
    True,
)
ENDPOINT_LISTED = _declare(
    "registry",
    "endpoint listed",
    "An endpoint is new, or its `state`, address or start changed.",
)
ENDPOINT_GONE = _declare(
    "registry", "endpoint gone", "An endpoint gets nothing from now on."
)
ENDPOINT_ENTRY_REFUSED = _declare(
    "registry", "entry refused", "An entry that names no endpoint.", True
)
REGISTRY_READ = _declare("registry", "registry read", "The registry was read whole.")
REGISTRY_FETCHED = _declare(
    "relay", "registry fetched", "The registry came from the instance `source`."
)
STORE_LOST = _declare(
    "store", "store lost", "Reads of `topic` fail; what was known holds.", True
)
STORE_RECOVERED = _declare(
    "store", "store regained", "`topic` is read again after `lost_for_s`."
)
RECORDS_TRIMMED = _declare(
    "store", "records were deleted unread", "`topic` is read whole again."
)
INSTANCES_NOT_READ = _declare(
    "instances", "instances not read", "The stored list of instances failed.", True
)
INSTANCE_ANNOUNCED = _declare(
    "instances", "instance announced", "The store holds this instance's address."
)
INSTANCE_NOT_ANNOUNCED = _declare(
    "instances", "instance not announced", "It is tried again.", True
)
MEMBER_LIVE = _declare(
    "membership", "member joined", "The instance `member` at `address` is live."
)
MEMBER_DIED = _declare(
    "membership", "member dead", "The instance `member` left or gave no answer.", True
)
MEMBER_SUSPECTED = _declare(
    "membership",
    "member suspected",
    "The instance `member` gave no answer; it has some time to show that it lives.",
    True,
)
MEMBER_SUSPICION_CLEARED = _declare(
    "membership", "member no longer suspected", "The instance `member` lives."
)
RESUMED = _declare(
    "membership",
    "resumed after a pause",
    "This instance did not run for `pause_s`; it hears from others before it acts.",
    True,
)
REPORT_REFUSED = _declare("load", "report refused", "A malformed load report.", True)

REQUEST_QUEUED = _declare(
    "placement",
    "request waits",
    "No endpoint of `pool` has room, or a long prompt waits its turn; `usable` are"
    " known and not set aside.",
)
PLACEMENT_YIELDED = _declare(
    "placement",
    "place given up to another instance",
    "Both chose the same engines at once; the request waits again.",
)
ENDPOINT_EJECTED = _declare(
    "placement",
    "endpoint set aside",
    "`endpoint` gets nothing for `for_s` because of `reason`.",
    True,
)
ENDPOINT_READMITTED = _declare(
    "placement", "endpoint back", "`endpoint` is no longer set aside."
)
REQUEST_SENT = _declare(
    "forward",
    "request sent",
    "Attempt number `attempt` at `endpoint`, with what was believed of it: `writers`"
    " and `calls` in progress, `backlog_s` of reading; `configuration` is the version"
    " and `configuration_age_s`, `registry_age_s` are the ages of the tables;"
    " `expected_s` is the estimate of the first event, `waited_s` is since arrival.",
)
ATTEMPT_FAILED = _declare(
    "forward",
    "attempt failed",
    "`endpoint` gave no usable answer because of `reason`; `may_have_run` tells"
    " whether it may have worked on the request.",
    True,
)
RETRY_BUDGET_EXHAUSTED = _declare(
    "forward", "not repeated for want of budget", "The shared budget is used up.", True
)
REQUEST_ENDED = _declare(
    "gateway",
    "request ended",
    "`outcome` is `answered` or the error's label; `sends`, `took_s`, and for streams"
    " `first_event_s` and `longest_gap_s`.",
)
REQUEST_REFUSED = _declare(
    "gateway",
    "request refused",
    "The caller got `status` and `reason`; `retry_after_s` says when to come back.",
    True,
)
STREAM_ABORTED = _declare(
    "gateway", "stream broken off", "A stream that had begun was cut.", True
)
CALLER_DISCONNECTED = _declare(
    "ingress", "caller left", "The caller closed its connection; work is cancelled."
)
REQUEST_FAILED = _declare(
    "ingress",
    "request failed",
    "An unforeseen error, a malformed request, or one that came too late to a leaving"
    " instance (`leaving`).",
    True,
)
KV_CACHE_RESERVED = _declare(
    "reservations", "memory reserved", "All `tickets` of a prompt are held."
)
KV_CACHE_NOT_RESERVED = _declare(
    "reservations", "memory not reserved", "`refused_by` had no room.", True
)
RESERVATION_NOT_RENEWED = _declare(
    "reservations", "ticket not renewed", "It lapses unless the next try works.", True
)
DECODE_ENGINE_DEAD = _declare(
    "reservations",
    "writing engine dead",
    "`endpoint` takes no connections; its exchanges are broken off.",
    True,
)
RESERVATION_LEFT_TO_EXPIRE = _declare(
    "reservations", "ticket left to lapse", "Its release got no answer.", True
)
