"""Finds out whether processes of endpoints have ended, here or by others' evidence."""

from __future__ import annotations

import asyncio

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_ENDED
from cicadacourse.evidence import Fact
from cicadacourse.exchange import EndpointClient
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

# Pauses before the tries to connect, in seconds. A packet of one try may be lost, and a
# process that ends may still accept a connection.
TRY_PAUSES_S = (0.0, 0.05, 0.2)
# A process that ended longer ago is mostly out of the registry or replaced.
NEWS_S = 2.0


def crash_id(endpoint: Endpoint) -> int:
    """Returns what identifies the crash of an endpoint's process at all instances."""
    return hashing.score(str(endpoint.started_ms), endpoint.id) >> 1


class EndedNews:
    """Announces endpoints whose processes other instances have seen ended."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._last_id: int | None = None

    def receive(self, crash: Fact) -> None:
        """Announces the endpoint of another instance's crash, if it is known here."""
        # The blame for one crash comes in several facts, mostly one after the other.
        if crash.id == self._last_id or now() - crash.observed_at > NEWS_S:
            return
        self._last_id = crash.id
        for endpoint in self._app.get("catalog").registry.all():
            if crash_id(endpoint) == crash.id:
                self._app.events.emit(ENDPOINT_ENDED, endpoint)


class EndedProcesses:
    """Looks up processes; requests that ask about the same one share the tries.

    :param client: tries to connect to endpoints.
    """

    def __init__(self, client: EndpointClient) -> None:
        self._client = client
        self._task_by_process: dict[Endpoint, asyncio.Task[bool]] = {}

    async def has_ended(self, endpoint: Endpoint) -> bool:
        """Returns whether a process has certainly ended.

        A cancelled call doesn't end the tries.
        """
        task = self._task_by_process.get(endpoint)
        if task is None:
            task = asyncio.create_task(self._try(endpoint))
            self._task_by_process[endpoint] = task
            task.add_done_callback(lambda _: self._task_by_process.pop(endpoint))
        return await asyncio.shield(task)

    async def _try(self, endpoint: Endpoint) -> bool:
        for pause_s in TRY_PAUSES_S:
            await asyncio.sleep(pause_s)
            if await self._client.is_process_gone(endpoint):
                return True
        return False
