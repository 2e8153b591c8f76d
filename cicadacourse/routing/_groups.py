"""Groups of engines for prompts that are larger than one engine."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, AsyncIterator, Sequence

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.endpoints import Endpoint
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import declare
from cicadacourse.routing._candidates import Candidate
from cicadacourse.routing._dispatch_client import DispatchClient
from cicadacourse.routing._messages import GrantReply
from cicadacourse.routing._model import Grant, GroupMember, PromptClass, Work, kv_limit
from cicadacourse.routing._slices import Slice, by_domain, cut
from cicadacourse.tables import Pool
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.application import Application


RESERVE_TIMEOUT_S = 2.0
BACK_OFF_S = 0.5
TOO_FEW_RETRY_S = 5.0

GROUPS = declare("groups_total", "Groups of engines asked for, by result.")


class Groups:
    """Reserves groups of engines in one failure domain, all or nothing.

    Members are reserved in the order of their names, so that of two groups with a
    common member one waits for the other without holding what the other needs next.
    """

    def __init__(self, app: Application, client: DispatchClient) -> None:
        self.app = app
        self._client = client
        self._me = app.get("membership").self_member()
        self._random = random.Random(f"groups/{self._me.name}")

    async def acquire(
        self, work: Work, pool: Pool, endpoints: Sequence[Endpoint], deadline: float
    ) -> Result[Grant, Error]:
        """Returns a grant with members, or why there is none."""
        needed_s = _service_s(work, pool)
        if now() + needed_s > deadline:
            return Failure(_too_late(needed_s, deadline - now()))
        refused = Error(ErrorKind.OVERLOADED, "no group was free in time")
        while now() + needed_s < deadline:
            slices = await self._choose(work, pool, endpoints)
            if slices is None:
                return Failure(self._too_few(work, pool))
            match await self._reserve_all(slices, deadline):
                case Success(members):
                    self.app.metrics.count(GROUPS, result="reserved")
                    return Success(self._grant(work, members, deadline))
                case Failure(error):
                    refused = error
            self.app.metrics.count(GROUPS, result=refused.label)
            await asyncio.sleep(BACK_OFF_S * (0.5 + self._random.random()))
        return Failure(attrs.evolve(refused, retry_after_s=needed_s))

    async def _choose(
        self, work: Work, pool: Pool, endpoints: Sequence[Endpoint]
    ) -> list[Slice] | None:
        """Returns slices over the failure domain whose members are free first."""
        choices = [
            cut(work, pool, members) for members in by_domain(endpoints).values()
        ]
        choices = [slices for slices in choices if slices]
        if not choices:
            return None
        candidates = [Candidate(one.endpoint) for slices in choices for one in slices]
        part = choices[0][0].work
        seconds_by_name = await self._client.estimate(part, candidates)

        def latest(slices: list[Slice]) -> tuple[float, float]:
            seconds = (seconds_by_name.get(one.endpoint.name, 60.0) for one in slices)
            return max(seconds), self._random.random()

        return min(choices, key=latest)

    def _too_few(self, work: Work, pool: Pool) -> Error:
        """Returns whether too few engines exist, or too few of them serve now."""
        detail = f"no failure domain can hold {work.kv_tokens} tokens"
        listed = self.app.get("directory").all_endpoints()
        every = [one for one, _ in listed if one.pool == pool.name]
        if any(cut(work, pool, members) for members in by_domain(every).values()):
            return Error(ErrorKind.NO_ENDPOINT, detail, retry_after_s=TOO_FEW_RETRY_S)
        return Error(ErrorKind.TOO_LARGE, detail)

    async def _reserve_all(
        self, slices: Sequence[Slice], deadline: float
    ) -> Result[tuple[GroupMember, ...], Error]:
        """Reserves every slice in order, or none."""
        async with self._undoing() as reserved:
            for one in slices:
                match await self._reserve(one, deadline):
                    case Success(member):
                        reserved.append(member)
                    case Failure(error):
                        return Failure(error)
            members = tuple(reserved)
            reserved.clear()
            return Success(members)

    @contextlib.asynccontextmanager
    async def _undoing(self) -> AsyncIterator[list[GroupMember]]:
        """Yields a list; what is in it at the end is released."""
        reserved: list[GroupMember] = []
        try:
            yield reserved
        finally:
            for member in reserved:
                self.app.get("routing").discard(member.endpoint, member.session)
                self._client.give_back(member.endpoint.name, member.session)

    async def _reserve(self, one: Slice, deadline: float) -> Result[GroupMember, Error]:
        """Waits for a slice's grant, then reserves it on the engine."""
        match await self._wait_for_grant(one, deadline):
            case Failure(error):
                return Failure(error)
            case Success(session):
                pass
        member = GroupMember(one.endpoint, session, one.work.kv_tokens)
        self.app.get("sessions").hold(session)
        answer = await self.app.get("endpoint_client").reserve(
            one.endpoint,
            session,
            self._me.name,
            one.work.kv_tokens,
            max(0.0, deadline - now()),
            RESERVE_TIMEOUT_S,
        )
        if isinstance(answer, Failure):
            self.app.get("routing").discard(one.endpoint, session)
            self._client.give_back(one.endpoint.name, session)
            return answer
        return Success(member)

    async def _wait_for_grant(self, one: Slice, deadline: float) -> Result[str, Error]:
        granted = False
        try:
            while now() < deadline:
                name = one.endpoint.name
                match await self._client.request(one.work, name, deadline):
                    case Success(GrantReply(session="")):
                        continue
                    case Success(reply):
                        granted = True
                        return Success(reply.session)
                    case Failure(error):
                        return Failure(error)
        finally:
            if not granted:
                self._client.withdraw(one.work, one.endpoint.name)
        return Failure(Error(ErrorKind.OVERLOADED, "no group was free in time"))

    def _grant(
        self, work: Work, members: tuple[GroupMember, ...], deadline: float
    ) -> Grant:
        leader = members[-1]
        return Grant(
            session=leader.session,
            endpoint=leader.endpoint,
            members=members[:-1],
            priority=PromptClass.HUGE.priority,
            expires_at=deadline,
            dispatcher=self._client.dispatcher(leader.endpoint.name).name,
            attempt=work.attempt,
        )


def _service_s(work: Work, pool: Pool) -> float:
    """Returns how long an idle group would take for the whole answer."""
    slice_tokens = min(work.prompt_tokens, kv_limit(pool))
    prefill_s = slice_tokens / pool.prefill_tokens_per_s
    return prefill_s + work.max_output_tokens / pool.decode_tokens_per_s


def _too_late(needed_s: float, left_s: float) -> Error:
    detail = f"needs {needed_s:.1f} s of {left_s:.1f} s left"
    late_s = needed_s - left_s
    return Error(ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_s=late_s)
