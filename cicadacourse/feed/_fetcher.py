"""The base class of what fetches one subject from other instances."""

from __future__ import annotations

import asyncio
from typing import Any, Coroutine

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService
from cicadacourse.config import InstanceSettings
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.feed._source import TableFeed
from cicadacourse.logs import FETCH_FAILED, log
from cicadacourse.membership import Member
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

FETCH_TIMEOUT_S = 0.3
# An instance that is behind asks others up to many times a second.
FAILURE_LOG_INTERVAL_S = 1.0


class Fetcher:
    """Fetches one subject from other instances, in one task at a time.

    :param subject: the subject, for the delegation of reads and for log lines.
    """

    def __init__(self, app: Application, subject: str) -> None:
        self.app = app
        self.subject = subject
        self.own_name = app.settings.get(InstanceSettings).name
        self.catalog_service: CatalogService = app.get("catalog")
        self._tasks = Tasks(app.metrics, "relay")
        self._task: asyncio.Task[None] | None = None
        self._failure_logged_at: dict[str, float] = {}

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a fetch unless one is in progress."""
        if self._task is not None and not self._task.done():
            coroutine.close()
            return
        self._task = self._tasks.start(coroutine, self.subject)

    async def stop(self) -> None:
        """Cancels the fetch in progress, if there is one."""
        await self._tasks.cancel()

    async def call(self, member: Member, request: Any, timeout_s: float) -> Any:
        """Calls another instance and returns the result with its reply."""
        peers = self.app.get("peers")
        return await peers.call(member.peer_address, request, timeout_s)

    def log_failure(self, source: str, reason: str) -> None:
        """Logs that a fetch failed, at intervals for each source."""
        logged_at = self._failure_logged_at.get(source, float("-inf"))
        if now() - logged_at >= FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at[source] = now()
            log(FETCH_FAILED, subject=self.subject, source=source, reason=reason)

    @property
    def feed(self) -> TableFeed:
        """The service that applies what is fetched."""
        return self.app.get("feed")

    @property
    def delegation(self) -> ReadDelegation:
        """What decides whether this instance reads the store."""
        return self.feed.read_delegation

    def members(self) -> list[Member]:
        """Returns all members that are not dead, this one included."""
        return self.app.get("membership").members()

    def find_member(self, instance: str) -> Member | None:
        """Returns the instance of a name, or None if it is unknown."""
        return self.app.get("membership").find(instance)

    def is_neighbour(self, instance: str) -> bool:
        """Returns whether an instance is known and in the same failure domain."""
        member = self.find_member(instance)
        own = self.app.get("membership").self_member()
        return member is not None and member.failure_domain == own.failure_domain
