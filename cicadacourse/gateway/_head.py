"""What the head of a request tells before its body is read.

The expected load is callers without a key or a route, or with bodies above the limits.
Their bodies are not worth the memory and the time to read them.
"""

from __future__ import annotations

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.catalog import Catalog, ConfigurationFreshness
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import CallerRequest
from cicadacourse.gateway._admission import DENIALS, admit, may_decide

# Until when a body must be whole if neither its caller nor a route says it.
DEFAULT_TIMEOUT_S = 15.0
REASON_NO_TIME_LEFT = "no_time_left"


@attrs.frozen
class BodyTerms:
    """What a request's head allows its body.

    :param deadline: when the body must be whole, loop time in seconds.
    :param max_bytes: its largest size.
    """

    deadline: float
    max_bytes: int


def check_head(
    request: CallerRequest,
    length: int | None,
    catalog: Catalog | None,
    freshness: ConfigurationFreshness,
    max_bytes: int,
    now_s: float,
) -> Result[BodyTerms, Error]:
    """Returns the terms of a body, or why the request is refused without it.

    A configuration that may be out of date denies nothing yet: the request is judged
    again once its body is whole.

    :param request: the request, without its body.
    :param length: the size that the head states, None if it states none.
    :param catalog: the configuration in force, or None if none is known yet.
    :param max_bytes: the largest body that is read under any configuration.
    :param now_s: the present, loop time in seconds.
    """
    if request.timeout_s is not None and request.timeout_s <= 0:
        detail = "the caller does not wait any more"
        return Failure(
            Error(ErrorKind.DEADLINE_UNREACHABLE, detail, REASON_NO_TIME_LEFT)
        )
    if length is not None and length > max_bytes:
        detail = f"the body is larger than {max_bytes} bytes"
        return Failure(Error(ErrorKind.TOO_LARGE, detail))
    limit_s = DEFAULT_TIMEOUT_S if request.timeout_s is None else request.timeout_s
    deadline = request.arrived + limit_s
    result = admit(request, catalog, length or 0)
    if catalog is None or not may_decide(result, freshness, now_s):
        return Success(BodyTerms(deadline, max_bytes))
    match result:
        case Failure(error) if error.kind in DENIALS:
            return Failure(error)
        case Success(admitted):
            deadline = admitted.deadline
    if freshness.may_deny(now_s):
        max_bytes = min(max_bytes, catalog.limits.max_body_bytes)
    return Success(BodyTerms(deadline, max_bytes))
