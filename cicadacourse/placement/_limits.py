"""Permits for requests to endpoints that name a limit.

The expected load is a few endpoints in need among many, which take about one request
per second from all instances together; at worst, all endpoints of a pool are in need. A
request goes to another endpoint while one is at its limit. Only if all are, a permit is
reserved for a later time, and a request that would have to wait for too long is refused
at once. One that has begun waits while no instance that grants permits replies.
"""

from __future__ import annotations

import asyncio

from returns.result import Failure, Result, Success

from cicadacourse.catalog import Endpoint, Pool
from cicadacourse.errors import Error
from cicadacourse.limits import EndpointLimits
from cicadacourse.placement import _errors as errors
from cicadacourse.placement._chooser import Chooser
from cicadacourse.placement._model import Placement
from cicadacourse.placement._queue import HeldPermit, Waiter
from cicadacourse.util.clock import now

# A permit is not used later than this: after a pause of this instance, it would add to
# those of a later time.
PERMIT_LIFETIME_S = 0.5
# Endpoints that are asked for a later permit before a request is refused.
MAX_ASKED = 3


class LimitGate:
    """Asks for the permits of requests that are about to be sent."""

    def __init__(self, limits: EndpointLimits, chooser: Chooser) -> None:
        self._limits = limits
        self._chooser = chooser

    async def may_send(self, waiter: Waiter, placement: Placement) -> bool:
        """Returns whether a request may be sent to its endpoint now."""
        endpoint = placement.endpoint
        if waiter.permit is not None and waiter.permit.is_valid(endpoint.id, now()):
            waiter.permit = None
            return True
        if self._limits.limit_of(endpoint) is None:
            return True
        asked_at = now()
        permit = await self._limits.acquire(endpoint, max_wait_s=0.0)
        return permit.is_granted and now() - asked_at < PERMIT_LIFETIME_S

    async def reserve(
        self, waiter: Waiter, pool: Pool, endpoints: list[Endpoint]
    ) -> Result[Placement, Error] | None:
        """Waits for a later permit of one of several endpoints at their limits.

        :returns: the placement once the permit is valid, a Failure if none would be in
            time, or None if the endpoint had no capacity in the end or a permit is to
            be asked for again.
        """
        soonest_s = float("inf")
        for endpoint in endpoints[:MAX_ASKED]:
            wait_s = waiter.request_at(now()).wait_s
            permit = await self._limits.acquire(endpoint, max_wait_s=wait_s)
            if permit.is_granted:
                valid_until = now() + permit.wait_s + PERMIT_LIFETIME_S
                waiter.permit = HeldPermit(endpoint.id, valid_until)
                await asyncio.sleep(permit.wait_s)
                return self._place(waiter, pool, endpoint)
            soonest_s = min(soonest_s, permit.wait_s)
        request = waiter.request_at(now())
        if request.has_begun and soonest_s < request.wait_s:
            await asyncio.sleep(soonest_s)
            return None
        return Failure(errors.limits_reached(pool.name, soonest_s))

    def _place(
        self, waiter: Waiter, pool: Pool, endpoint: Endpoint
    ) -> Result[Placement, Error] | None:
        """Places a request on an endpoint for which a permit has become valid."""
        candidates = [
            item
            for item in self._chooser.candidates(
                pool, waiter.request.regions, with_limited=True
            )
            if item.endpoint.id == endpoint.id
        ]
        request = waiter.request_at(now())
        placement = self._chooser.try_place(request, pool, candidates)
        return None if placement is None else Success(placement)
