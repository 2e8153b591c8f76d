"""Permits of rates that all instances share.

For each key, one instance keeps the schedule and grants permits to all; it is chosen by
rendezvous hashing over the members. No instance needs a share of its own, so the whole
rate is used wherever the requests arrive, and the sum keeps to it for any number of
instances. While the members' views differ, two instances may grant permits of one key
for a short time; a new schedule starts without tokens, so that little is added. While
the first choice does not reply, another one grants a part of the rate.
"""

from __future__ import annotations

import itertools

from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.events import MEMBER_LEFT
from cicadacourse.limits._messages import AcquirePermit, Permit
from cicadacourse.limits._schedule import PermitSchedule
from cicadacourse.logs import PERMIT_UNAVAILABLE, log
from cicadacourse.membership import Member, MemberState
from cicadacourse.metrics import declare
from cicadacourse.peers import handles
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

PERMITS = declare("permits_total", "Permits of shared rates asked for, by outcome.")

# How long an instance waits for the reply of another.
CALL_TIMEOUT_S = 0.15
# An instance that did not reply is not asked again for this long.
UNREACHABLE_S = 1.0
# How many instances are asked for one permit before it counts as not granted.
MAX_ASKED = 2
# How often the one instance that grants a turn is asked for it.
MAX_TURN_CALLS = 2
# Part of the rate that another instance grants while the first choice is a member but
# did not reply: it may be granting permits to those that reach it.
FALLBACK_SHARE = 0.25
# After how long an instance asks again if it could reach none that grants permits.
RETRY_S = 0.3
# Bounds the memory; the schedule that was not used for the longest time is dropped.
MAX_SCHEDULES = 1000


@SERVICES.register("permits")
class Permits(Service):
    """Asks for permits, and grants them for the keys that this instance keeps."""

    name = "permits"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._schedule_by_key: dict[str, PermitSchedule] = {}
        self._unreachable_until_by_name: dict[str, float] = {}
        app.events.connect(MEMBER_LEFT, self._forget_member)

    async def acquire(self, key: str, rate: float, max_wait_s: float) -> Permit:
        """Asks for a permit of a shared rate.

        :param key: what the rate is for, the same at all instances.
        :param rate: permits per second of all instances together, over 0.
        :param max_wait_s: for how long from now the permit may be reserved at most.
        """
        return self._counted(await self._ask(key, rate, max_wait_s))

    async def acquire_turn(self, key: str, rate: float) -> Permit:
        """Asks for a permit of a shared rate of which the first is available at once.

        Only one instance is asked: two that don't know of each other's permits would
        both grant a first one.

        :param key: as for :meth:`acquire`.
        :param rate: as for :meth:`acquire`.
        """
        request = AcquirePermit(
            key=key, rate=rate, max_wait_s=0.0, is_initially_full=True
        )
        member = self._keepers(key)[0]
        for _ in range(MAX_TURN_CALLS):
            permit = await self._ask_member(member, request)
            if permit is not None:
                return self._counted(permit)
        return self._counted(Permit(is_granted=False, wait_s=RETRY_S))

    def _counted(self, permit: Permit) -> Permit:
        outcome = "granted" if permit.is_granted else "denied"
        self.app.metrics.count(PERMITS, outcome=outcome)
        return permit

    @handles(AcquirePermit)
    async def on_acquire_permit(self, request: AcquirePermit) -> Permit:
        """Grants or denies a permit to another instance."""
        if not request.rate > 0:
            detail = f"a rate of {request.rate} permits per second"
            raise CicadacourseError(Error(ErrorKind.BAD_REQUEST, detail))
        return self._grant(request)

    async def _ask(self, key: str, rate: float, max_wait_s: float) -> Permit:
        for member, share in self._reachable_keepers(key)[:MAX_ASKED]:
            request = AcquirePermit(key=key, rate=share * rate, max_wait_s=max_wait_s)
            permit = await self._ask_member(member, request)
            if permit is not None:
                return permit
            self._unreachable_until_by_name[member.name] = now() + UNREACHABLE_S
        return Permit(is_granted=False, wait_s=RETRY_S)

    async def _ask_member(
        self, member: Member, request: AcquirePermit
    ) -> Permit | None:
        """Returns the reply of an instance, or None if it did not reply in time."""
        if member.name == self._own_name:
            return self._grant(request)
        result = await self.app.get("peers").call(
            member.peer_address, request, CALL_TIMEOUT_S
        )
        match result:
            case Success(Permit() as permit):
                return permit
            case Failure(error):
                log(PERMIT_UNAVAILABLE, source=member.name, reason=error.detail)
        return None

    def _reachable_keepers(self, key: str) -> list[tuple[Member, float]]:
        """Returns the instances that may grant permits of a key, the best first.

        Those that did not reply a short time ago are left out.

        :returns: pairs of an instance and the share of the rate that it may grant.
        """
        shares = itertools.chain([1.0], itertools.repeat(FALLBACK_SHARE))
        now_s = now()
        return [
            (member, share)
            for member, share in zip(self._keepers(key), shares)
            if self._unreachable_until_by_name.get(member.name, 0.0) <= now_s
        ]

    def _keepers(self, key: str) -> list[Member]:
        """Returns the instances that may grant permits of a key, the best first."""
        members = self.app.get("membership").members()
        staying = [item for item in members if item.state is not MemberState.LEAVING]
        member_by_name = {item.name: item for item in staying or members}
        return [member_by_name[name] for name in hashing.rank(key, member_by_name)]

    def _forget_member(self, member: Member) -> None:
        self._unreachable_until_by_name.pop(member.name, None)

    def _grant(self, request: AcquirePermit) -> Permit:
        now_s = now()
        schedule = self._schedule_by_key.get(request.key)
        if schedule is None:
            tokens = 1.0 if request.is_initially_full else 0.0
            schedule = PermitSchedule(request.rate, now_s, tokens=tokens)
            self._schedule_by_key[request.key] = schedule
            self._drop_oldest_schedule()
        return schedule.acquire(request.rate, request.max_wait_s, now_s)

    def _drop_oldest_schedule(self) -> None:
        if len(self._schedule_by_key) > MAX_SCHEDULES:
            schedules = self._schedule_by_key
            oldest = min(schedules, key=lambda key: schedules[key].used_at)
            del schedules[oldest]
