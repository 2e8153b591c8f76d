"""Refuses requests that no endpoint of their pool would take in time.

The expected load is a pool in need, all of whose endpoints want no requests for some
seconds. Its requests are refused at once, with the time of the soonest return. Requests
wait for an endpoint that returns within ``MAX_RETURN_WAIT_S``: a refused caller would
come back no sooner, with one attempt less and without its place in the queue. A longer
wait would gather more requests than the endpoints serve in time after their return.
Requests that have begun are few and can't come back, so they wait for longer.
"""

from __future__ import annotations

from cicadacourse.eligibility import Eligibility
from cicadacourse.errors import Error
from cicadacourse.placement import _errors as errors
from cicadacourse.placement._model import Placement, PlacementRequest
from cicadacourse.placement._pools import Pools
from cicadacourse.util.clock import now

MAX_RETURN_WAIT_S = 1.0


class DeclineGate:
    """Checks whether requests may wait for endpoints, and may be sent to them."""

    def __init__(self, eligibility: Eligibility, pools: Pools) -> None:
        self._eligibility = eligibility
        self._pools = pools

    def find_refusal(self, request: PlacementRequest) -> Error | None:
        """Returns the error if no endpoint of its pool accepts a request in time.

        :param request: the request with the times that remain now.
        :returns: None if it may wait for an endpoint.
        """
        returns_at = self._pools.returns_at(request.pool, request.regions)
        if may_wait(request, returns_at):
            return None
        return errors.pool_declines(request.pool, returns_at - now())

    def may_send(self, request: PlacementRequest, placement: Placement) -> bool:
        """Returns whether all endpoints of a placement may still be used."""
        endpoints = (placement.endpoint, *placement.helpers)
        return all(
            self._eligibility.may_use(item, request.regions) for item in endpoints
        )


def may_wait(request: PlacementRequest, returns_at: float) -> bool:
    """Returns whether a request may wait for an endpoint.

    :param request: the request with the times that remain now.
    :param returns_at: from when on an endpoint accepts requests, loop time in seconds.
    """
    max_wait_s = request.wait_s
    if not request.has_begun:
        max_wait_s = min(max_wait_s, MAX_RETURN_WAIT_S)
    return returns_at - now() <= max_wait_s
