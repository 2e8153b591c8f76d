"""Finds out whether the decode engine of a request that holds reservations is dead.

The expected load is some tens of such requests, whose engines may prefill for seconds
without sending data. A short silence of an engine, or one that refuses new connections
while the open ones go on, must not end a request. An engine that hangs accepts
connections and is silent for good: its requests are ended after a longer time.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Callable

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_SENT_DATA
from cicadacourse.util.clock import now

CHECK_PERIOD_S = 1.2
# Until the next check after one that failed, so that two short silences are told from a
# long one.
RECHECK_PERIOD_S = 0.25
MIN_CHECK_PERIOD_S = 0.05
# An engine is dead that accepts no connection and sends no data for this time.
DEAD_AFTER_S = 2.0
# If a check takes longer than this, the process was paused, and it shows nothing.
MAX_CHECK_S = 0.8


REASON_UNREACHABLE = "unreachable"
REASON_SILENT = "silent"


class EngineWatch:
    """Keeps when the decode engines that are watched have last sent data."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._watches_by_id: Counter[str] = Counter()
        self._last_data_at_by_id: dict[str, float] = {}
        app.events.connect(ENDPOINT_SENT_DATA, self._record_data)

    async def wait_until_dead(
        self, engine: Endpoint, silent_s: Callable[[], float], max_silent_s: float
    ) -> str:
        """Returns once an engine has shown no sign of life for ``DEAD_AFTER_S``.

        A sign of life is a connection that it accepts, or data of any exchange with it.
        There is none to see while a request that it serves does not wait for data.

        :param silent_s: returns for how many seconds that request has waited for data.
        :param max_silent_s: after how many seconds without data the request counts as
            one that its engine does not serve.
        :returns: why the engine counts as dead.
        """
        self._watches_by_id[engine.id] += 1
        try:
            return await self._check_until_dead(engine, silent_s, max_silent_s)
        finally:
            self._watches_by_id[engine.id] -= 1
            if not self._watches_by_id[engine.id]:
                del self._watches_by_id[engine.id]
                self._last_data_at_by_id.pop(engine.id, None)

    async def _check_until_dead(
        self, engine: Endpoint, silent_s: Callable[[], float], max_silent_s: float
    ) -> str:
        unreachable_since: float | None = None
        while True:
            is_failing = unreachable_since is not None
            period_s = RECHECK_PERIOD_S if is_failing else CHECK_PERIOD_S
            silent_left_s = max_silent_s - silent_s()
            await asyncio.sleep(max(MIN_CHECK_PERIOD_S, min(period_s, silent_left_s)))
            if silent_s() >= max_silent_s:
                return REASON_SILENT
            started = now()
            is_reachable = await self._app.get("memory_client").is_reachable(engine)
            if is_reachable or now() - started > MAX_CHECK_S:
                unreachable_since = None
                continue
            if unreachable_since is None:
                unreachable_since = started
            last_data_at = self._last_data_at_by_id.get(engine.id, unreachable_since)
            dead_s = now() - max(unreachable_since, last_data_at)
            if min(dead_s, silent_s()) >= DEAD_AFTER_S:
                return REASON_UNREACHABLE

    def _record_data(self, endpoint_id: str) -> None:
        if endpoint_id in self._watches_by_id:
            self._last_data_at_by_id[endpoint_id] = now()
