"""The service that knows which instances are live."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings
from cicadacourse.events import CATALOG_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.logs import RESUMED, log
from cicadacourse.membership._context import Context
from cicadacourse.membership._messages import (
    Ack,
    Ping,
    SyncDigest,
    SyncHashes,
    SyncMembers,
)
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._own import OwnRecord
from cicadacourse.membership._pauses import PauseDetector
from cicadacourse.membership._prober import Prober
from cicadacourse.membership._records import Records
from cicadacourse.membership._settings import PAUSES, MembershipSettings
from cicadacourse.membership._syncer import Syncer
from cicadacourse.membership._view import MembershipView
from cicadacourse.peers import handles
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import time_to_tick

# Period of the checks for a pause of this instance.
_TICK_S = 0.25


@SERVICES.register("membership")
class Membership(Service):
    """Keeps an eventually consistent view of the other instances.

    The view may be out of date at any time.
    """

    name = "membership"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        settings = app.settings.get(MembershipSettings)
        instance = app.settings.get(InstanceSettings)
        self.view = MembershipView()
        self._tasks = Tasks(app.metrics, "membership")
        self._records = Records(
            app, settings, OwnRecord(instance), self.view, self._announce_own_news
        )
        self._pauses = PauseDetector(settings.pause_limit_s, self._resume)
        context = Context(
            app,
            settings,
            self._records,
            self._pauses,
            self._tasks,
            chooser=random.Random(instance.name),
        )
        self._prober = Prober(context)
        self._syncer = Syncer(context)
        app.events.connect(CATALOG_CHANGED, self.set_configuration_version)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Joins the other instances and detects their failures while it runs."""
        self._pauses.start()
        self._tasks.keep("tick", self._tick)
        self._tasks.keep("probe", lambda: self._prober.run(self.sleep))
        self._tasks.keep("sync", lambda: self._syncer.run(self.sleep))
        self._tasks.start(self._syncer.refresh(self.sleep), "refresh")
        try:
            yield
        finally:
            self._pauses.stop()
            await self._tasks.cancel()
            await self._send_leave_announcement()

    def self_member(self) -> Member:
        """Returns this instance's own record."""
        return self._records.own.member

    def members(self) -> list[Member]:
        """Returns all members that are not dead, this one included, sorted by name."""
        return self._records.members()

    def alive_members(self) -> list[Member]:
        """Returns the members that callers may be sent to, sorted by name.

        This instance is left out while it refreshes its view, after its start and
        after a pause, and once another process has replaced it. If no member is left,
        the list is this instance's own record in any state, ``leaving`` too.
        """
        self._pauses.detect()
        return self._records.alive_members()

    def find(self, name: str) -> Member | None:
        """Returns the record of a member, dead or not, or None if it is unknown."""
        return self._records.find(name)

    def set_leaving(self) -> None:
        """Announces at once that this instance takes no new work."""
        if self.self_member().state is MemberState.ALIVE:
            self._records.change_own(state=MemberState.LEAVING)
            self._announce()

    def set_configuration_version(self, version: int) -> None:
        """Sets the version of the configuration in force here, which others receive."""
        self._records.own.update(configuration_version=version)

    def finish_refresh(self, has_synced: bool) -> None:
        """Ends a refresh, so that callers may be sent to this instance again.

        :param has_synced: whether another instance has answered.
        """
        self._records.finish_refresh(has_synced)

    def receive(self, *members: Member) -> None:
        """Merges received records and gossips those that are newer."""
        self._records.receive(*members)

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for some seconds; tests replace it to freeze an instance."""
        await asyncio.sleep(delay_s)

    @handles(Ping)
    async def on_ping(self, ping: Ping) -> Ack:
        """Answers a probe, or sends an indirect probe for the sender."""
        self._pauses.detect()
        self.receive(ping.sender, *ping.deltas)
        reached = True
        if ping.target:
            reached = await self._prober.ping(ping.target, name="")
        deltas = self._records.deltas_for(ping.sender.name)
        return Ack(sender=self.self_member(), reached=reached, deltas=deltas)

    @handles(SyncDigest)
    async def on_sync_digest(self, request: SyncDigest) -> SyncHashes:
        """Answers the first step of an anti-entropy exchange."""
        self._pauses.detect()
        self.receive(request.sender, *request.deltas)
        return self._syncer.answer_digest(request)

    @handles(SyncMembers)
    async def on_sync_members(self, request: SyncMembers) -> SyncMembers:
        """Answers the second step of an anti-entropy exchange."""
        self._pauses.detect()
        self.receive(request.sender, *request.members)
        if self._records.own.is_refreshing:
            self.finish_refresh(has_synced=True)
        return self._syncer.members_of(request.buckets)

    async def _tick(self) -> None:
        while True:
            await self.sleep(time_to_tick(_TICK_S))
            self._pauses.detect()

    def _resume(self, paused_s: float) -> None:
        """Starts a refresh after a pause of this instance, as its view is outdated."""
        log(RESUMED, pause_s=round(paused_s, 1))
        self.app.metrics.count(PAUSES)
        self._records.start_refresh()
        self._prober.restart_suspicions()
        self._tasks.start(self._syncer.refresh(self.sleep), "refresh")
        self.app.events.emit(RESUMED_AFTER_PAUSE)

    def _announce_own_news(self) -> None:
        """Sends a change of this instance to a few members, unless it has ended.

        Probes, and so suspicions, still arrive soon after the end.
        """
        if self._pauses.is_running:
            self._announce()

    def _announce(self) -> None:
        """Sends a change of this instance to a few members at once."""
        for announcement in self._prober.announcements():
            self._tasks.start(announcement, "announce")

    async def _send_leave_announcement(self) -> None:
        """Announces a graceful end, so that the others needn't detect a failure."""
        own = self._records.own
        if own.member.state is not MemberState.LEAVING or own.is_replaced:
            return
        self._records.change_own(state=MemberState.DEAD)
        await asyncio.gather(*self._prober.announcements())
