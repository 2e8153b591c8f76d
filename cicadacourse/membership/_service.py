"""The service that knows which instances are live."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any, AsyncIterator, Coroutine

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings
from cicadacourse.events import (
    CATALOG_CHANGED,
    MEMBER_JOINED,
    MEMBER_LEFT,
    RESUMED_AFTER_PAUSE,
)
from cicadacourse.logs import (
    MEMBER_DIED,
    MEMBER_LIVE,
    MEMBER_SUSPECTED,
    MEMBER_SUSPICION_CLEARED,
    RESUMED,
    log,
)
from cicadacourse.membership._deltas import DeltaQueue
from cicadacourse.membership._messages import (
    Ack,
    Ping,
    SyncDigest,
    SyncHashes,
    SyncMembers,
)
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._own import OwnRecord
from cicadacourse.membership._prober import Prober
from cicadacourse.membership._settings import (
    DEATHS,
    MEMBERS,
    PAUSES,
    REFUTATIONS,
    MembershipSettings,
)
from cicadacourse.membership._syncer import Syncer
from cicadacourse.membership._view import MembershipView
from cicadacourse.peers import handles
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("membership")

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
        instance = app.settings.get(InstanceSettings)
        self.settings = app.settings.get(MembershipSettings)
        self.random = random.Random(instance.name)
        self.view = MembershipView()
        self.pause_count = 0
        self.is_refreshing = True
        self._deltas = DeltaQueue()
        self._prober = Prober(self)
        self._syncer = Syncer(self)
        self._own = OwnRecord(instance)
        self._last_tick_s: float | None = None
        self._alive_members: list[Member] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        app.events.connect(CATALOG_CHANGED, self.set_configuration_version)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Joins the other instances and detects their failures while it runs."""
        self._last_tick_s = now()
        for run in (self._tick, self._prober.run, self._syncer.run):
            self.start_task(run())
        self.start_task(self._syncer.refresh())
        try:
            yield
        finally:
            self._last_tick_s = None
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._send_leave_announcement()

    def self_member(self) -> Member:
        """Returns this instance's own record."""
        return self._own.member

    def members(self) -> list[Member]:
        """Returns all members that are not dead, this one included, sorted by name."""
        return sorted(
            [self._own.member, *self.view.live()], key=lambda member: member.name
        )

    def alive_members(self) -> list[Member]:
        """Returns the members that callers may be sent to, sorted by name.

        This instance is left out while it refreshes its view, after its start and
        after a pause, and once another process has replaced it. If no member is left,
        the list is this instance's own record in any state, ``leaving`` too.
        """
        self.detect_pause()
        if self._alive_members is None:
            alive = [
                member
                for member in self.members()
                if member.state is MemberState.ALIVE and self._may_be_offered(member)
            ]
            self._alive_members = alive or [self._own.member]
        return self._alive_members

    def find(self, name: str) -> Member | None:
        """Returns the record of a member, dead or not, or None if it is unknown."""
        own = self._own.member
        return own if name == own.name else self.view.find(name)

    def set_leaving(self) -> None:
        """Announces at once that this instance takes no new work."""
        if self._own.member.state is MemberState.ALIVE:
            self._change_own(state=MemberState.LEAVING)
            self._prober.announce()

    def set_configuration_version(self, version: int) -> None:
        """Sets the version of the configuration in force here, which others receive."""
        self._own.update(configuration_version=version)

    @handles(Ping)
    async def on_ping(self, ping: Ping) -> Ack:
        """Answers a probe, or sends an indirect probe for the sender."""
        self.detect_pause()
        self.receive(ping.sender, *ping.deltas)
        reached = True
        if ping.target:
            reached = await self._prober.ping(ping.target, name="")
        deltas = self.deltas_for(ping.sender.name)
        return Ack(sender=self._own.member, reached=reached, deltas=deltas)

    @handles(SyncDigest)
    async def on_sync_digest(self, request: SyncDigest) -> SyncHashes:
        """Answers the first step of an anti-entropy exchange."""
        self.detect_pause()
        self.receive(request.sender, *request.deltas)
        return self._syncer.answer_digest(request)

    @handles(SyncMembers)
    async def on_sync_members(self, request: SyncMembers) -> SyncMembers:
        """Answers the second step of an anti-entropy exchange."""
        self.detect_pause()
        self.receive(request.sender, *request.members)
        if self.is_refreshing:
            self.finish_refresh(has_synced=True)
        return self._syncer.members_of(request.buckets)

    def receive(self, *members: Member) -> None:
        """Merges received records and gossips those that are newer."""
        for member in members:
            if member.name == self._own.member.name:
                self._receive_own_record(member)
                continue
            known = self.view.find(member.name)
            if self.view.merge(member, now()):
                self._deltas.put(member)
                self._publish_change(known, member)

    def deltas_for(self, name: str) -> tuple[Member, ...]:
        """Returns the changes that a message to a member carries.

        A record by which that member is not alive is always among them, so that the
        member can refute it.
        """
        limit = self.settings.deltas_per_message
        deltas = self._deltas.take(limit, len(self.view) + 1)
        receiver = self.view.find(name)
        if receiver is None or receiver.state is MemberState.ALIVE:
            return deltas
        return (*(item for item in deltas if item.name != name), receiver)

    def detect_pause(self) -> None:
        """Starts a refresh after a pause of this instance, as its view is outdated.

        A pause is a time of more than ``pause_limit_s`` in which the event loop did not
        run. This is called before each action on the view.
        """
        if self._last_tick_s is None:
            return
        paused_s = now() - self._last_tick_s
        self._last_tick_s = now()
        if paused_s <= self.settings.pause_limit_s:
            return
        log(RESUMED, pause_s=round(paused_s, 1))
        self.pause_count += 1
        self.app.metrics.count(PAUSES)
        self.is_refreshing = True
        self._record_change()
        self._prober.restart_suspicions()
        self.start_task(self._syncer.refresh())
        self.app.events.emit(RESUMED_AFTER_PAUSE)

    def finish_refresh(self, has_synced: bool) -> None:
        """Ends a refresh, so that callers may be sent to this instance again.

        :param has_synced: whether another instance has answered.
        """
        self._own.is_starting = self._own.is_starting and not has_synced
        self.is_refreshing = False
        self._record_change()

    def forget(self, name: str) -> None:
        """Removes a member that has been dead for long."""
        self.view.forget(name)

    def start_task(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that is cancelled when the service ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for some seconds; tests replace it to freeze an instance."""
        await asyncio.sleep(delay_s)

    async def call(self, address: str, request: Any, timeout_s: float) -> Any:
        """Calls another instance through the service ``peers``."""
        return await self.app.get("peers").call(address, request, timeout_s)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed: {!r}", task.exception())

    async def _tick(self) -> None:
        while True:
            await self.sleep(_TICK_S)
            self.detect_pause()

    def _receive_own_record(self, received: Member) -> None:
        """Refutes a wrong record of this instance, unless it was replaced."""
        if self._own.detect_replacement(received):
            logger.error(
                "replaced by {}; callers are no longer sent here",
                received.peer_address,
            )
            self._record_change()
        elif self._own.must_refute(received):
            if received.state is not MemberState.ALIVE:
                self.app.metrics.count(REFUTATIONS)
            self._change_own(incarnation=received.incarnation + 1)
            if self._is_running:
                self._prober.announce()

    @property
    def _is_running(self) -> bool:
        """Whether tasks may be started; probes still arrive soon after the end."""
        return self._last_tick_s is not None

    def _change_own(self, **changes: Any) -> None:
        self._deltas.put(self._own.update(**changes))
        self._record_change()

    def _may_be_offered(self, member: Member) -> bool:
        """Returns whether callers may be sent to an alive member."""
        if member.name != self._own.member.name:
            return True
        return not self.is_refreshing and not self._own.is_replaced

    def _publish_change(self, known: Member | None, member: Member) -> None:
        self._record_change()
        was_live = known is not None and known.state is not MemberState.DEAD
        is_live = member.state is not MemberState.DEAD
        self._log_suspicion(known, member)
        if is_live and not was_live:
            log(MEMBER_LIVE, member=member.name, address=member.peer_address)
            self.app.events.emit(MEMBER_JOINED, member)
        if was_live and not is_live:
            log(MEMBER_DIED, member=member.name, address=member.peer_address)
            self.app.metrics.count(DEATHS)
            self.app.events.emit(MEMBER_LEFT, member)

    def _log_suspicion(self, known: Member | None, member: Member) -> None:
        was_suspect = known is not None and known.state is MemberState.SUSPECT
        is_suspect = member.state is MemberState.SUSPECT
        if is_suspect and not was_suspect:
            log(MEMBER_SUSPECTED, member=member.name, address=member.peer_address)
        if was_suspect and member.state is MemberState.ALIVE:
            log(
                MEMBER_SUSPICION_CLEARED,
                member=member.name,
                address=member.peer_address,
            )

    def _record_change(self) -> None:
        """Drops the cached members and updates the metrics, as a record has changed."""
        self._alive_members = None
        self._update_member_metrics()

    def _update_member_metrics(self) -> None:
        for state in MemberState:
            entries = self.view.entries()
            count = sum(entry.member.state is state for entry in entries)
            self.app.metrics.set(MEMBERS, count, state=state.value)

    async def _send_leave_announcement(self) -> None:
        """Announces a graceful end, so that the others needn't detect a failure."""
        is_leaving = self._own.member.state is MemberState.LEAVING
        if not is_leaving or self._own.is_replaced:
            return
        self._change_own(state=MemberState.DEAD)
        await asyncio.gather(*self._prober.announcements())
