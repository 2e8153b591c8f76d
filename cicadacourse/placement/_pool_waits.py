"""Requests that have begun wait while their pool has no endpoint that is reached.

The expected load is the streams and calls of one pool whose entries all lapse, or are
replaced, within a second or two, or to which all links are lost. A refusal would lose
what they have got, or leave their callers without knowing whether they ran. All others
are refused at once: they did not run, and another instance may serve them.
"""

from __future__ import annotations

import asyncio
from typing import Any

from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.catalog import Pool
from cicadacourse.errors import Error
from cicadacourse.events import CATALOG_CHANGED, ENDPOINT_CHANGED, LINKS_CHANGED
from cicadacourse.logs import REQUEST_QUEUED, log
from cicadacourse.placement._model import PlacementRequest
from cicadacourse.placement._pools import Pools
from cicadacourse.placement._reach_gate import ReachGate
from cicadacourse.util.clock import now


class PoolWaits:
    """Resolves the pools of requests, as soon as there is a live endpoint."""

    def __init__(self, app: Application, pools: Pools, reach_gate: ReachGate) -> None:
        self._pools = pools
        self._reach_gate = reach_gate
        self._changed = asyncio.Event()
        app.events.connect(CATALOG_CHANGED, self.report_change)
        app.events.connect(ENDPOINT_CHANGED, self.report_change)
        app.events.connect(LINKS_CHANGED, self.report_change)

    def report_change(self, *_: Any) -> None:
        """Looks at the pools of all requests that wait again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def resolve(self, request: PlacementRequest) -> Result[Pool, Error]:
        """Returns the pool that serves a request; see :meth:`Pools.resolve`.

        One that has begun waits for as long as it might be queued.
        """
        result = self._resolve(request)
        if isinstance(result, Success) or not request.has_begun:
            return result
        log(REQUEST_QUEUED, request=request.request_id, pool=request.pool, usable=0)
        until = now() + min(request.wait_s, request.time_left_s)
        while isinstance(result, Failure):
            try:
                async with asyncio.timeout(until - now()):
                    await self._changed.wait()
            except TimeoutError:
                return result
            result = self._resolve(request)
        return result

    def _resolve(self, request: PlacementRequest) -> Result[Pool, Error]:
        """Returns the pool of a request, or the error if no endpoint is reached."""
        result = self._pools.resolve(request)
        match result:
            case Success(Pool() as pool):
                refusal = self._reach_gate.find_refusal(pool.name)
                return result if refusal is None else Failure(refusal)
        return result
