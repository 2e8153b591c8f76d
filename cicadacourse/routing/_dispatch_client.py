"""The asking side of dispatch: probes, requests, withdrawals and returns."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from typing import AsyncIterator, Sequence

from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.membership import Member
from cicadacourse.metrics import declare
from cicadacourse.routing._candidates import Candidate
from cicadacourse.routing._dispatcher import HOLD_S
from cicadacourse.routing._messages import (
    Estimates,
    GrantReply,
    GrantRequest,
    Probe,
    ReturnedGrant,
    Returns,
    Withdrawal,
)
from cicadacourse.routing._model import Work
from cicadacourse.util.clock import now

PROBE_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = HOLD_S + 0.5
RETURN_TIMEOUT_S = 1.0
RETURN_DELAY_S = 0.01

PROBES = declare("dispatch_probes_total", "Probes sent, by result.")
RETURNS_LOST = declare(
    "dispatch_returns_lost_total", "Returned grants that no dispatcher took."
)


class DispatchClient:
    """Asks the dispatchers of endpoints, each endpoint's owner by membership."""

    def __init__(self, app: Application) -> None:
        self.app = app
        self._membership = app.get("membership")
        self._returns_by_dispatcher: dict[str, list[ReturnedGrant]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Yields, then waits for the last returns to be sent."""
        yield
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=RETURN_TIMEOUT_S)
        for task in list(self._tasks):
            task.cancel()

    def dispatcher(self, endpoint_name: str) -> Member:
        """Returns the instance that dispatches for an endpoint, as seen here."""
        return self._membership.owner(endpoint_name)

    async def estimate(
        self, work: Work, candidates: Sequence[Candidate]
    ) -> dict[str, float]:
        """Returns the estimated delays by endpoint, in seconds.

        One message per dispatcher; those that don't answer in time are left out.
        """
        names_by_dispatcher: dict[Member, list[str]] = defaultdict(list)
        for candidate in candidates:
            name = candidate.endpoint.name
            names_by_dispatcher[self.dispatcher(name)].append(name)
        probes = (
            self._probe(member, Probe(work=work, endpoints=tuple(names)))
            for member, names in names_by_dispatcher.items()
        )
        seconds_by_name: dict[str, float] = {}
        for answer in await asyncio.gather(*probes):
            for estimate in answer:
                seconds_by_name[estimate.endpoint] = estimate.delay_s
        return seconds_by_name

    async def request(
        self, work: Work, endpoint_name: str, deadline: float
    ) -> Result[GrantReply, Error]:
        """Asks for a grant; an answer without a session says that it waits."""
        request = GrantRequest(
            work=work,
            endpoint=endpoint_name,
            time_left_s=max(0.0, deadline - now()),
        )
        address = self.dispatcher(endpoint_name).peer_address
        return await self._call(address, request, REQUEST_TIMEOUT_S)

    def withdraw(self, work: Work, endpoint_name: str) -> None:
        """Takes a request for a grant back, without waiting for the answer."""
        withdrawal = Withdrawal(
            request_id=work.request_id, attempt=work.attempt, endpoint=endpoint_name
        )
        address = self.dispatcher(endpoint_name).peer_address
        self._spawn(self._call(address, withdrawal, RETURN_TIMEOUT_S))

    def give_back(self, endpoint_name: str, session: str) -> None:
        """Tells the dispatcher soon, with others, that a grant is used no more."""
        dispatcher = self.dispatcher(endpoint_name).name
        returned = ReturnedGrant(endpoint=endpoint_name, session=session)
        waiting = self._returns_by_dispatcher[dispatcher]
        waiting.append(returned)
        if len(waiting) == 1:
            self._spawn(self._send_returns(dispatcher))

    async def _send_returns(self, dispatcher: str) -> None:
        await asyncio.sleep(RETURN_DELAY_S)
        grants = tuple(self._returns_by_dispatcher.pop(dispatcher))
        member = self._membership.find(dispatcher)
        if member is None:
            return
        answer = await self._call(
            member.peer_address, Returns(grants=grants), RETURN_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            self.app.metrics.count(RETURNS_LOST, len(grants))

    async def _probe(self, member: Member, probe: Probe) -> Sequence[object]:
        match await self._call(member.peer_address, probe, PROBE_TIMEOUT_S):
            case Success(Estimates(estimates=estimates)):
                self.app.metrics.count(PROBES, result="answered")
                return estimates
            case _:
                self.app.metrics.count(PROBES, result="lost")
                return ()

    async def _call(
        self, address: str, message: object, timeout_s: float
    ) -> Result[object, Error]:
        return await self.app.get("peers").call(address, message, timeout_s)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def is_unreachable(error: Error) -> bool:
    """Whether an error says nothing about the endpoint, only about a dispatcher."""
    return error.kind in (ErrorKind.PEER_UNREACHABLE, ErrorKind.LEAVING)
