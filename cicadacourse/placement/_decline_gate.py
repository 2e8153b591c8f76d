"""Refuses requests that no endpoint of their pool would take in time.

The expected load is a pool in need, all of whose endpoints want no requests for some
seconds. Its requests are refused at once, with the time of the soonest return. Requests
wait for an endpoint that returns within ``MAX_RETURN_WAIT_S``: a refused caller would
come back no sooner, with one attempt less and without its place in the queue. A longer
wait would gather more requests than the endpoints serve in time after their return.
"""

from __future__ import annotations

from cicadacourse.errors import Error
from cicadacourse.placement import _errors as errors
from cicadacourse.placement._chooser import Chooser
from cicadacourse.placement._declines import Declines
from cicadacourse.placement._model import Placement, PlacementRequest
from cicadacourse.placement._queue import WaitQueue
from cicadacourse.util.clock import now

MAX_RETURN_WAIT_S = 1.0


class DeclineGate:
    """Decides which requests wait for an endpoint that declines requests."""

    def __init__(self, declines: Declines, chooser: Chooser, queue: WaitQueue) -> None:
        self._declines = declines
        self._chooser = chooser
        self._queue = queue

    def find_refusal(self, request: PlacementRequest) -> Error | None:
        """Returns the error if no endpoint accepts a request in time, else None.

        :param request: the request with the times that remain now.
        """
        return _find_refusal(request, self._chooser.returns_at(request.pool))

    def may_send(self, placement: Placement) -> bool:
        """Returns whether all endpoints of a placement still accept requests."""
        endpoints = (placement.endpoint, *placement.helpers)
        return all(self._declines.accepts(item) for item in endpoints)

    def wake_refused(self) -> None:
        """Wakes the queued requests that no endpoint accepts in time any more."""
        returns_at_by_pool: dict[str, float] = {}
        for waiter in self._queue:
            pool = waiter.request.pool
            if pool not in returns_at_by_pool:
                returns_at_by_pool[pool] = self._chooser.returns_at(pool)
            request = waiter.request_at(now())
            if _find_refusal(request, returns_at_by_pool[pool]) is not None:
                waiter.placement.set_result(None)


def _find_refusal(request: PlacementRequest, returns_at: float) -> Error | None:
    """Returns the error of a request whose pool accepts requests from a time on."""
    if returns_at == float("inf"):
        return errors.pool_empty(request.pool)
    wait_s = returns_at - now()
    if wait_s > min(request.wait_s, MAX_RETURN_WAIT_S):
        return errors.pool_declines(request.pool, wait_s)
    return None
