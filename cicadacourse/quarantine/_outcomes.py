"""What verdicts mean for responses and for the log."""

from __future__ import annotations

from typing import Mapping

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import ResponseHead
from cicadacourse.logs import (
    PART_CLEARED,
    PART_SUSPECTED,
    REQUEST_CLEARED,
    REQUEST_SUSPECTED,
    log,
)
from cicadacourse.quarantine._keys import digest_of, is_request_key
from cicadacourse.quarantine._verdicts import Verdict

# The label of the error of a request; that of a part of a prompt is its kind.
REASON_REQUEST_SUSPECTED = "request_suspected"
# Statuses by which endpoints refuse requests without running them.
REFUSAL_STATUSES = frozenset({408, 421, 429})


def proves_sound(head: ResponseHead) -> bool:
    """Returns whether a response shows that its endpoint has run a request and lives.

    An endpoint with an error may have failed before it ran the request.
    """
    if head.never_ran or head.is_server_error:
        return False
    return head.status not in REFUSAL_STATUSES


def suspected_error(key: str, delay_s: float) -> Error:
    """Returns the error of a request that may crash the endpoint it is sent to.

    :param key: what is suspected, a part of its prompt or the request itself.
    :param delay_s: seconds until another request with it may be sent.
    """
    if is_request_key(key):
        return Error(
            ErrorKind.PROMPT_SUSPECTED,
            "this request is suspected of crashing endpoints",
            reason=REASON_REQUEST_SUSPECTED,
            retry_after_s=delay_s,
        )
    detail = "a part of the prompt is suspected of crashing endpoints"
    return Error(ErrorKind.PROMPT_SUSPECTED, detail, retry_after_s=delay_s)


def log_changes(former: Mapping[str, Verdict], current: Mapping[str, Verdict]) -> None:
    """Logs the verdicts that are new, different or gone."""
    for key in former.keys() - current.keys():
        if is_request_key(key):
            log(REQUEST_CLEARED, digest=digest_of(key))
        else:
            log(PART_CLEARED, prompt_part=key)
    for key, verdict in current.items():
        if former.get(key) != verdict:
            _log_suspected(key, verdict)


def _log_suspected(key: str, verdict: Verdict) -> None:
    weight, interval_s = verdict.weight, verdict.trial_interval_s
    if is_request_key(key):
        log(
            REQUEST_SUSPECTED,
            digest=digest_of(key),
            weight=weight,
            interval_s=interval_s,
            turn=verdict.turn,
        )
    else:
        log(PART_SUSPECTED, prompt_part=key, weight=weight, interval_s=interval_s)
