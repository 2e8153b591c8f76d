"""The errors of requests that are not placed."""

from __future__ import annotations

from cicadacourse.eligibility import (
    REASON_DECLINED,
    REASON_EVACUATED,
    REASON_LEAVING,
    REASON_REGION,
    Obstacle,
)
from cicadacourse.errors import Error, ErrorKind

# The replacement of an endpoint is listed in the registry within about this time.
RETRY_AFTER_NO_ENDPOINT_S = 1.0
# A stream of typical length frees its slot within about this time.
RETRY_AFTER_FULL_S = 0.5
REASON_CONNECTIONS = "connections_in_use"
REASON_LIMITS = "endpoint_limits"
REASON_ALL_DECLINE = "endpoints_declined"
REASON_UNREACHABLE = "endpoints_unreachable"
# Connections to endpoints that nobody reaches are tried in the background; once the
# links are back, that is known within this time.
RETRY_AFTER_UNREACHABLE_S = 1.0
# Operators withdraw an evacuation at any moment, and it is known here soon after.
RETRY_AFTER_EVACUATED_S = 1.0
# An earlier retry would find the same endpoints at their limits.
MIN_RETRY_AFTER_LIMITED_S = 0.1


def pool_unknown(pool: str) -> Error:
    """Returns the error for a pool that is not configured."""
    return _no_endpoint(f"pool {pool} is not in the configuration")


def pool_empty(pool: str) -> Error:
    """Returns the error for a pool without a live endpoint."""
    return _no_endpoint(f"pool {pool} has no live endpoint")


def pool_not_eligible(pool: str, obstacle: Obstacle | None) -> Error:
    """Returns the error for a pool none of whose endpoints may be used.

    :param obstacle: what keeps the endpoints from being used, None if there are none.
    """
    if obstacle is None or obstacle.reason in (REASON_LEAVING, REASON_DECLINED):
        return pool_empty(pool)
    if obstacle.reason == REASON_EVACUATED:
        detail = f"all failure domains with endpoints of pool {pool} are evacuated"
        retry_after_s = RETRY_AFTER_EVACUATED_S
    elif obstacle.reason == REASON_REGION:
        detail = f"pool {pool} has no endpoint in a region that may serve the request"
        retry_after_s = RETRY_AFTER_NO_ENDPOINT_S
    else:
        raise ValueError(f"unknown obstacle {obstacle.reason!r}")
    return Error(
        ErrorKind.NO_ENDPOINT,
        detail,
        reason=obstacle.reason,
        retry_after_s=retry_after_s,
    )


def pool_full(pool: str) -> Error:
    """Returns the error for a request whose time in the queue is over."""
    detail = f"no endpoint of pool {pool} came free in time"
    return Error(ErrorKind.OVERLOADED, detail, retry_after_s=RETRY_AFTER_FULL_S)


def connections_in_use(pool: str) -> Error:
    """Returns the error for a request that found no connection in its time."""
    return Error(
        ErrorKind.OVERLOADED,
        f"all connections that pool {pool} allows to an endpoint were in use",
        reason=REASON_CONNECTIONS,
        retry_after_s=RETRY_AFTER_FULL_S,
    )


def limits_reached(pool: str, wait_s: float) -> Error:
    """Returns the error for a request that no endpoint's limit allows in time.

    :param wait_s: seconds until the next request is allowed.
    """
    return Error(
        ErrorKind.LIMIT_EXCEEDED,
        f"the endpoints of pool {pool} take no more requests in time",
        reason=REASON_LIMITS,
        retry_after_s=max(MIN_RETRY_AFTER_LIMITED_S, wait_s),
    )


def pool_declines(pool: str, wait_s: float) -> Error:
    """Returns the error for a request while all endpoints want none for a time.

    :param wait_s: seconds until the first of them accepts requests again.
    """
    return Error(
        ErrorKind.OVERLOADED,
        f"the endpoints of pool {pool} want no requests for {wait_s:.1f} s",
        reason=REASON_ALL_DECLINE,
        retry_after_s=wait_s,
    )


def pool_unreachable(pool: str) -> Error:
    """Returns the error for a request while no endpoint can be connected to."""
    return Error(
        ErrorKind.NO_ENDPOINT,
        f"no endpoint of pool {pool} is reached from here or through other instances",
        reason=REASON_UNREACHABLE,
        retry_after_s=RETRY_AFTER_UNREACHABLE_S,
    )


def deadline_unreachable(pool: str) -> Error:
    """Returns the error for a prompt that can't be prefilled before its deadline."""
    detail = f"pool {pool} cannot prefill the prompt before the deadline"
    return Error(
        ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_s=RETRY_AFTER_FULL_S
    )


def _no_endpoint(detail: str) -> Error:
    return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=RETRY_AFTER_NO_ENDPOINT_S)
