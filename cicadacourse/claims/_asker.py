"""Asks the keeper of a partition, or decides here if the keeper is silent."""

from __future__ import annotations

import asyncio
from typing import Any, Awaitable, Callable

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.claims._messages import (
    PENDING,
    ClaimReply,
    ClaimRequest,
    OutcomeRequest,
)
from cicadacourse.claims._model import CLAIM_FALLBACKS, get_partition, get_stream
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.clock import now

Request = ClaimRequest | OutcomeRequest


class Asker:
    """Finds the keeper of a key through membership and asks it.

    :param keeper_timeout_s: how long a keeper may be silent.
    """

    def __init__(self, app: Application, keeper_timeout_s: float) -> None:
        self._app = app
        self._keeper_timeout_s = keeper_timeout_s

    async def ask(
        self,
        request: Request,
        decide_here: Callable[[Any], Awaitable[Result[Any, Error]]],
        deadline: float,
    ) -> Result[Any, Error]:
        """Returns the keeper's reply, asking again while it says that it is pending.

        :param decide_here: used if this instance is the keeper or gets no reply.
        :returns: the reply; ``LOG_OUTCOME_UNKNOWN`` if there is none in time.
        """
        while now() < deadline:
            address = self._find_keeper_address(request.key)
            if address is None:
                break
            result = await self._ask_peer(address, request, deadline)
            if _is_unreachable(result):
                self._app.metrics.count(CLAIM_FALLBACKS)
                break
            if not _is_pending(result):
                return result
        try:
            async with asyncio.timeout_at(deadline):
                return await decide_here(_limit(request, deadline))
        except TimeoutError:
            detail = "the claim was not settled in time"
            return Failure(Error(ErrorKind.LOG_OUTCOME_UNKNOWN, detail))

    async def _ask_peer(
        self, address: str, request: Request, deadline: float
    ) -> Result[Any, Error]:
        timeout_s = min(self._keeper_timeout_s, (deadline - now()) / 2)
        request = _limit(request, deadline)
        if isinstance(request, ClaimRequest):
            request = attrs.evolve(request, wait_s=timeout_s / 2)
        return await self._app.get("peers").call(address, request, timeout_s)

    def _find_keeper_address(self, key: str) -> str | None:
        """Returns the keeper's address, or None if it is this instance."""
        membership = self._app.find("membership")
        if membership is None:
            return None
        keeper = membership.owner(get_stream(get_partition(key)))
        if keeper.name == membership.self_member().name:
            return None
        return keeper.peer_address


def _is_unreachable(result: Result[Any, Error]) -> bool:
    match result:
        case Failure(error):
            return error.kind is ErrorKind.PEER_UNREACHABLE
    return False


def _is_pending(result: Result[Any, Error]) -> bool:
    match result:
        case Success(ClaimReply(kind=kind)):
            return kind == PENDING
    return False


def _limit(request: Request, deadline: float) -> Request:
    """Returns a request with the time that is left for it."""
    return attrs.evolve(request, time_limit_s=max(0.0, deadline - now()))
