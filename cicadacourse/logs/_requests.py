"""Log events of callers and their requests."""

from __future__ import annotations

from cicadacourse.logs._event import declare

REQUEST_SENT = declare(
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
ATTEMPT_FAILED = declare(
    "forward",
    "attempt failed",
    "`endpoint` gave no usable response because of `reason`; `may_have_run` is whether"
    " it may have executed the request. If the exchange broke, `progress` is `waiting`"
    " (no response), `begun` (no complete event of it) or `streaming`, no data had come"
    " for `silent_s`, and `parts` are the parts of the prompt that other prompts may"
    " share; `digest` is as in `request sent`.",
    True,
)
RETRY_BUDGET_EXHAUSTED = declare(
    "forward",
    "retry budget exhausted",
    "The request is not retried; this instance has used its share of the retry budget"
    " of `pool`.",
    True,
)
REQUEST_HEDGED = declare(
    "forward",
    "request hedged",
    "No data came for `silent_s` from `endpoints`, at which the request is in progress;"
    " an attempt at another endpoint of `pool` is started beside them.",
)
HEDGE_DENIED = declare(
    "forward",
    "hedge denied",
    "The attempt beside those in progress was not sent because of `reason`; they go on"
    " and another may be tried later.",
)
ATTEMPT_SUPERSEDED = declare(
    "forward",
    "attempt superseded",
    "The attempt at `endpoint`, without data for `silent_s`, is cancelled as `chosen`"
    " sent data first; `is_blamed` is whether the silence counts against the endpoint.",
)
REQUEST_ENDED = declare(
    "gateway",
    "request ended",
    "`outcome` is `answered` or the error's label; `sends` is the number of attempts"
    " sent, `took_s` the total time; streams add `first_event_s` and `longest_gap_s`.",
)
REQUEST_REFUSED = declare(
    "gateway",
    "request refused",
    "The caller received `status`, `reason` and, if set, the delay `retry_after_s`"
    " before a retry. `configuration` was in force, `newest_configuration` is the"
    " newest one that this instance had heard of, and `confirmed_age_s` is the time"
    " since it knew that there was no newer one.",
    True,
)
STREAM_ABORTED = declare(
    "gateway",
    "stream broken off",
    "A stream was aborted after its response had begun.",
    True,
)
CALLER_DISCONNECTED = declare(
    "ingress",
    "caller left",
    "The caller closed its connection; the request is cancelled.",
)
CONNECTIONS_CLOSED = declare(
    "ingress",
    "callers' connections closed",
    "`count` connections waited for a request for too long, the longest `waited_s`;"
    " `reason` is `idle` (nothing of a request came) or `slow_head` (only a part of its"
    " head came), `callers` are the addresses of some of them. One line tells of all"
    " that are closed at once.",
)
REQUEST_FAILED = declare(
    "ingress",
    "request failed",
    "An unexpected error, a malformed request, or a request that reached an instance"
    " too late in its shutdown or was not placed when that ended (`leaving`).",
    True,
)
CALLERS_SHED = declare(
    "resources",
    "callers without progress shed",
    "`count` callers that moved too little, and for whom `freed_bytes` were held, were"
    " refused or cut off as `waiting` others waited for room: `held_bytes` of"
    " `limit_bytes` were held. `kind` is what was held: a `body` not read whole, a"
    " `connection` with a partial head, or an unread `answer`.",
    True,
)
CONNECTIONS_REPLACED = declare(
    "ingress",
    "connections closed for new ones",
    "`listener` had its `limit` of connections; `count` that waited for their clients"
    " were closed since the last line. `refused` new ones were, as none did.",
    True,
)
