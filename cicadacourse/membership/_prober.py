"""The failure detector, which probes one member per period.

A member that doesn't answer is suspected, and declared dead if it doesn't refute the
suspicion in time.
"""

from __future__ import annotations

import asyncio
import math
from typing import Coroutine

import attrs
from returns.result import Success

from cicadacourse.membership._context import Context
from cicadacourse.membership._messages import Ack, Ping
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._selection import choose_across_domains
from cicadacourse.membership._settings import SUSPICIONS
from cicadacourse.membership._sleep import Sleep
from cicadacourse.util.clock import now

# Number of members to which a change of this instance is sent at once.
_ANNOUNCE_FANOUT = 4


class Prober:
    """The failure detector of one instance."""

    def __init__(self, context: Context) -> None:
        self._app = context.app
        self._settings = context.settings
        self._records = context.records
        self._pauses = context.pauses
        self._chooser = context.chooser
        self._probe_round: list[str] = []
        self._suspected_by_self: set[str] = set()

    async def run(self, sleep: Sleep) -> None:
        """Probes members for as long as the service runs."""
        period_s = self._settings.probe_period_s
        await sleep(self._chooser.random() * period_s)
        while True:
            started_s = now()
            self._pauses.detect()
            await self._probe_next()
            self._expire()
            await sleep(max(0.0, started_s + period_s - now()))

    async def ping(self, address: str, name: str) -> bool:
        """Probes an address and returns whether it answered.

        :param name: the member's name, empty if it is not known.
        """
        request = Ping(
            sender=self._records.own.member,
            deltas=self._records.deltas_for(name),
        )
        return await self._ask(address, request, self._settings.probe_timeout_s)

    def announcements(self) -> list[Coroutine[None, None, bool]]:
        """Returns pings that carry a change to members of several failure domains."""
        receivers = choose_across_domains(
            self._alive(), _ANNOUNCE_FANOUT, self._chooser
        )
        return [self.ping(member.peer_address, member.name) for member in receivers]

    def restart_suspicions(self) -> None:
        """Restarts the suspicion timeout of every suspected member, after a pause."""
        for entry in self._records.view.entries():
            if entry.member.state is MemberState.SUSPECT:
                entry.since = now()

    async def _probe_next(self) -> None:
        """Probes the next member, and again those it suspected in the last period."""
        target = self._next_target()
        names = self._suspected_by_self | ({target} if target else set())
        self._suspected_by_self.clear()
        await asyncio.gather(*(self._probe(name) for name in sorted(names)))

    def _next_target(self) -> str | None:
        """Returns the next member of a shuffled round, or None if there is none.

        Each member is probed once per round, which bounds the detection time.
        """
        while self._probe_round:
            member = self._records.view.find(self._probe_round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member.name
        self._probe_round = sorted(item.name for item in self._records.view.live())
        self._chooser.shuffle(self._probe_round)
        return self._probe_round.pop() if self._probe_round else None

    async def _probe(self, name: str) -> None:
        """Suspects a member that no probe reaches, unless this instance was paused."""
        member = self._records.view.find(name)
        if member is None or member.state is MemberState.DEAD:
            return
        pause_count = self._pauses.count
        if await self.ping(member.peer_address, name):
            return
        if await self._probe_indirectly(member):
            return
        self._pauses.detect()
        if pause_count == self._pauses.count:
            self._suspect(member)

    async def _probe_indirectly(self, member: Member) -> bool:
        """Requests indirect probes and returns whether one of them got an answer.

        Members of other failure domains send them, if there are any.
        """
        candidates = [item for item in self._alive() if item.name != member.name]
        own_domain = self._records.own.member.failure_domain
        other_domains = [
            item for item in candidates if item.failure_domain != own_domain
        ]
        count = self._settings.indirect_probes
        intermediaries = choose_across_domains(
            other_domains or candidates, count, self._chooser
        )
        request = Ping(sender=self._records.own.member, target=member.peer_address)
        timeout_s = 2 * self._settings.probe_timeout_s
        answers = await asyncio.gather(
            *(
                self._ask(item.peer_address, request, timeout_s)
                for item in intermediaries
            )
        )
        return any(answers)

    async def _ask(self, address: str, request: Ping, timeout_s: float) -> bool:
        match await self._app.get("peers").call(address, request, timeout_s):
            case Success(Ack(sender=sender, reached=reached, deltas=deltas)):
                self._records.receive(sender, *deltas)
                return reached
        return False

    def _suspect(self, probed: Member) -> None:
        """Suspects a member, unless its incarnation has changed since the probe."""
        known = self._records.view.find(probed.name)
        if known is None or known.incarnation != probed.incarnation:
            return
        if known.state in (MemberState.ALIVE, MemberState.LEAVING):
            self._app.metrics.count(SUSPICIONS)
        self._suspected_by_self.add(probed.name)
        self._records.receive(attrs.evolve(known, state=MemberState.SUSPECT))

    def _expire(self) -> None:
        """Declares members dead after the suspicion timeout; forgets the long dead."""
        suspicion_timeout_s = self._suspicion_timeout_s()
        for entry in self._records.view.entries():
            age_s = now() - entry.since
            if (
                entry.member.state is MemberState.SUSPECT
                and age_s > suspicion_timeout_s
            ):
                dead = attrs.evolve(entry.member, state=MemberState.DEAD)
                self._records.receive(dead)
            if entry.member.state is MemberState.DEAD:
                if age_s > self._settings.forget_dead_s:
                    self._records.view.forget(entry.member.name)

    def _suspicion_timeout_s(self) -> float:
        """Returns how long a suspected member may refute the suspicion, in seconds.

        Gossip takes O(log N) periods to reach N members, so the timeout grows alike.
        """
        member_count = len(self._records.view) + 1
        periods = self._settings.suspicion_periods * max(1.0, math.log10(member_count))
        return periods * self._settings.probe_period_s

    def _alive(self) -> list[Member]:
        return [
            member
            for member in self._records.view.live()
            if member.state is MemberState.ALIVE
        ]
