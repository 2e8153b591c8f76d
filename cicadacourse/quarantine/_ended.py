"""Finds out whether the process of an endpoint that broke off has ended."""

from __future__ import annotations

import asyncio

from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import EndpointClient

# Pauses before the tries to connect, in seconds. A packet of one try may be lost, and a
# process that ends may still accept a connection.
TRY_PAUSES_S = (0.0, 0.05, 0.2)


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
