"""Bounds the connections that this instance uses at once to each endpoint."""

from __future__ import annotations

import asyncio
import collections
import contextlib

import attrs

# The value of a limit that bounds nothing.
UNBOUNDED = 0


@attrs.define
class _Permits:
    """The permits of one endpoint.

    :ivar limit: the maximum number of permits, or :data:`UNBOUNDED`.
    :ivar held: the number of permits that are held.
    :ivar waiters: those that wait for a permit, in the order of their arrival; each is
        done once it has one.
    """

    limit: int = UNBOUNDED
    held: int = 0
    waiters: collections.deque[asyncio.Future[None]] = attrs.field(
        factory=collections.deque
    )

    def grant(self) -> None:
        """Grants the permits that are left to those that wait."""
        while self.waiters and (self.limit == UNBOUNDED or self.held < self.limit):
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.held += 1
                waiter.set_result(None)


class ConnectionLimits:
    """Grants permits to use a connection to an endpoint, first come, first served."""

    def __init__(self) -> None:
        self._permits_by_endpoint: dict[str, _Permits] = {}

    async def acquire(self, endpoint_id: str, limit: int, timeout_s: float) -> None:
        """Waits for a permit, which must be released.

        :param limit: the maximum number of permits of the endpoint from now on, or
            :data:`UNBOUNDED`.
        :raises TimeoutError: if none came free within ``timeout_s``.
        """
        permits = self._permits_by_endpoint.setdefault(endpoint_id, _Permits())
        permits.limit = limit
        waiter = asyncio.get_running_loop().create_future()
        permits.waiters.append(waiter)
        permits.grant()
        if waiter.done():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except BaseException:
            if waiter.cancelled():
                with contextlib.suppress(ValueError):  # a grant removes it as well
                    permits.waiters.remove(waiter)
            else:
                # The wait was cancelled in the turn of the loop that granted a permit.
                self.release(endpoint_id)
            raise

    def release(self, endpoint_id: str) -> None:
        """Gives back one permit."""
        permits = self._permits_by_endpoint[endpoint_id]
        permits.held -= 1
        permits.grant()
        if not permits.held:
            del self._permits_by_endpoint[endpoint_id]
