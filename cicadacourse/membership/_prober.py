"""Probes one member per period, suspects who does not answer, declares it dead."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Coroutine

import attrs
from returns.result import Success

from cicadacourse.membership._messages import Ack, Ping
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._settings import SUSPICIONS
from cicadacourse.membership._spread import spread
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.membership._service import Membership

_ANNOUNCE_FANOUT = 4


class Prober:
    """The failure detector of one instance."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._settings = membership.settings
        self._round: list[str] = []
        self._suspected_here: set[str] = set()

    async def run(self) -> None:
        """Probes members for as long as the service runs."""
        period_s = self._settings.probe_period_s
        await self._membership.sleep(self._membership.random.random() * period_s)
        while True:
            started = now()
            self._membership.notice_pause()
            await self._probe_some()
            self._expire()
            await self._membership.sleep(max(0.0, started + period_s - now()))

    async def ping(self, address: str, name: str) -> bool:
        """Probes an address and returns whether it answered.

        :param name: the member's name, if it is known.
        """
        request = Ping(
            sender=self._membership.self_member(),
            deltas=self._membership.deltas_for(name),
        )
        return await self._ask(address, request, self._settings.probe_timeout_s)

    def announce(self) -> None:
        """Tells a few members of this instance's own change at once."""
        for coroutine in self.announcements():
            self._membership.start_task(coroutine)

    def announcements(self) -> list[Coroutine[None, None, bool]]:
        """Returns the pings that tell a few members, spread over failure domains."""
        told = spread(self._alive(), _ANNOUNCE_FANOUT, self._membership.random)
        return [self.ping(member.peer_address, member.name) for member in told]

    def restart_suspicions(self) -> None:
        """Gives every suspected member its whole time again, after a pause."""
        for entry in self._membership.view.entries():
            if entry.member.state is MemberState.SUSPECT:
                entry.since = now()

    async def _probe_some(self) -> None:
        """Probes the next member, and those that were suspected from here."""
        target = self._next_target()
        names = self._suspected_here | ({target} if target else set())
        self._suspected_here.clear()
        await asyncio.gather(*(self._probe(name) for name in sorted(names)))

    def _next_target(self) -> str | None:
        """Returns the next member of a shuffled round, which bounds the detection."""
        while self._round:
            member = self._membership.view.find(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member.name
        self._round = sorted(item.name for item in self._membership.view.live())
        self._membership.random.shuffle(self._round)
        return self._round.pop() if self._round else None

    async def _probe(self, name: str) -> None:
        member = self._membership.view.find(name)
        if member is None or member.state is MemberState.DEAD:
            return
        pauses = self._membership.pauses
        if await self.ping(member.peer_address, name):
            return
        if await self._probe_indirectly(member):
            return
        self._membership.notice_pause()
        if pauses == self._membership.pauses:
            self._suspect(member)

    async def _probe_indirectly(self, member: Member) -> bool:
        """Asks members of other failure domains to probe; true if one got through."""
        helpers = [item for item in self._alive() if item.name != member.name]
        own_domain = self._membership.self_member().failure_domain
        far = [item for item in helpers if item.failure_domain != own_domain]
        count = self._settings.indirect_probes
        asked = spread(far or helpers, count, self._membership.random)
        request = Ping(
            sender=self._membership.self_member(), target=member.peer_address
        )
        timeout_s = 2 * self._settings.probe_timeout_s
        answers = await asyncio.gather(
            *(self._ask(item.peer_address, request, timeout_s) for item in asked)
        )
        return any(answers)

    async def _ask(self, address: str, request: Ping, timeout_s: float) -> bool:
        match await self._membership.call(address, request, timeout_s):
            case Success(Ack(sender=sender, reached=reached, deltas=deltas)):
                self._membership.hear(sender, *deltas)
                return reached
        return False

    def _suspect(self, probed: Member) -> None:
        """Suspects a member, unless it has shown a newer incarnation meanwhile."""
        known = self._membership.view.find(probed.name)
        if known is None or known.incarnation != probed.incarnation:
            return
        if known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self._membership.app.metrics.count(SUSPICIONS)
        self._suspected_here.add(probed.name)
        self._membership.hear(attrs.evolve(known, state=MemberState.SUSPECT))

    def _expire(self) -> None:
        """Declares members dead that did not refute; forgets the long dead."""
        suspicion_s = self._suspicion_s()
        for entry in self._membership.view.entries():
            age_s = now() - entry.since
            if entry.member.state is MemberState.SUSPECT and age_s > suspicion_s:
                dead = attrs.evolve(entry.member, state=MemberState.DEAD)
                self._membership.hear(dead)
            if entry.member.state is MemberState.DEAD:
                if age_s > self._settings.forget_dead_s:
                    self._membership.forget(entry.member.name)

    def _suspicion_s(self) -> float:
        """Returns how long a member may refute; rumours take log N to travel."""
        member_count = len(self._membership.view) + 1
        periods = self._settings.suspicion_periods * max(1.0, math.log10(member_count))
        return periods * self._settings.probe_period_s

    def _alive(self) -> list[Member]:
        return [
            member
            for member in self._membership.view.live()
            if member.state is MemberState.ALIVE
        ]
