"""Tries to place queued requests again, after changes of the load or after a time."""

from __future__ import annotations

import asyncio
import random
from typing import Any, TypeAlias

from cicadacourse.eligibility import AllowedRegions
from cicadacourse.placement._chooser import Chooser
from cicadacourse.placement._decline_gate import may_wait
from cicadacourse.placement._model import Candidate
from cicadacourse.placement._pools import Pools
from cicadacourse.placement._queue import WaitQueue
from cicadacourse.placement._reach_gate import ReachGate
from cicadacourse.util.clock import now

# Range of the random interval at which queued long prompts are tried again. A change of
# the load reaches all instances at once, so trying again on each change would make them
# choose the same engines.
RECHECK_RANGE_S = (0.02, 0.06)

# The requests that may use the same endpoints: a pool, and the regions that may serve.
_Scope: TypeAlias = tuple[str, AllowedRegions]


class Dispatcher:
    """Places queued requests: short ones on a change, long ones at intervals."""

    def __init__(
        self, queue: WaitQueue, chooser: Chooser, pools: Pools, reach_gate: ReachGate
    ) -> None:
        self._queue = queue
        self._chooser = chooser
        self._pools = pools
        self._reach_gate = reach_gate
        self._is_scheduled = False
        self._is_release_scheduled = False
        self._recheck_timer: asyncio.TimerHandle | None = None

    def schedule(self, *_: Any) -> None:
        """Schedules one try of queued short requests per turn of the event loop."""
        if len(self._queue) and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._place_scheduled)

    def schedule_release(self) -> None:
        """Schedules a look for requests whose pool does not take them in time any more.

        It follows in the next turn of the event loop, once all changes of the registry
        that came together are applied.
        """
        if len(self._queue) and not self._is_release_scheduled:
            self._is_release_scheduled = True
            asyncio.get_running_loop().call_soon(self._release)

    def _release(self) -> None:
        """Ends the waits for endpoints that don't return in time or don't exist.

        Endpoints to which no connection can be made are none either.
        """
        self._is_release_scheduled = False
        names = {waiter.request.pool for waiter in self._queue}
        unreachable = {name for name in names if self._reach_gate.find_refusal(name)}
        returns_at_by_scope: dict[_Scope, float] = {}
        for waiter in self._queue:
            request = waiter.request_at(now())
            scope = (request.pool, request.regions)
            if scope not in returns_at_by_scope:
                returns_at_by_scope[scope] = self._pools.returns_at(*scope)
            may_stay = may_wait(request, returns_at_by_scope[scope])
            if not may_stay or request.pool in unreachable:
                waiter.placement.set_result(None)

    def schedule_recheck(self) -> None:
        """Schedules the next try of queued long prompts, as long as there is one."""
        if self._recheck_timer is None and self._queue.has_long():
            delay_s = random.uniform(*RECHECK_RANGE_S)
            self._recheck_timer = asyncio.get_running_loop().call_later(
                delay_s, self._on_recheck
            )

    def _on_recheck(self) -> None:
        self._recheck_timer = None
        self._place_first(is_long=True)
        self.schedule_recheck()

    def _place_scheduled(self) -> None:
        """Places the first short request that fits.

        Its assignment changes the load, which schedules the next try.
        """
        self._is_scheduled = False
        self._place_first(is_long=False)

    def _place_first(self, is_long: bool) -> None:
        """Places the first request that fits, of the long or of the short queue."""
        candidates_by_scope: dict[_Scope, list[Candidate]] = {}
        for waiter in self._queue.waiting(is_long):
            pool = self._pools.current(waiter.request)
            if pool is None:
                continue
            scope = (pool.name, waiter.request.regions)
            if scope not in candidates_by_scope:
                candidates = self._chooser.candidates(pool, waiter.request.regions)
                candidates_by_scope[scope] = candidates
            # At the peak of a burst no slot is free, and hundreds of requests wait.
            if not any(item.has_slot for item in candidates_by_scope[scope]):
                continue
            placement = self._chooser.try_place(
                waiter.request_at(now()), pool, candidates_by_scope[scope]
            )
            if placement is not None:
                waiter.placement.set_result(placement)
                return
