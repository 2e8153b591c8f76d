"""The service that owns the memory account of an instance."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.resources._account import MemoryAccount
from cicadacourse.resources._settings import ResourceSettings
from cicadacourse.tasks import Tasks


@SERVICES.register("resources")
class Resources(Service):
    """Owns the account of what is held for callers, and sheds callers for it.

    :ivar account: the account.
    :ivar settings: what this instance may use of its machine.
    """

    name = "resources"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.settings = app.settings.get(ResourceSettings)
        limit = int(self.settings.held_share * self.settings.memory_bytes)
        self.account = MemoryAccount(limit, app.metrics)
        self._tasks = Tasks(app.metrics, "resources")

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Sheds callers without progress while the instance runs."""
        self._tasks.keep("shed", self.account.shed_periodically)
        try:
            yield
        finally:
            await self._tasks.cancel()
