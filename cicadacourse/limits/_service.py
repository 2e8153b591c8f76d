"""The service that admits requests under their organisation's limit."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import attrs
import cachetools
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.events import RESUMED_AFTER_PAUSE
from cicadacourse.limits._bucket import TokenBucket
from cicadacourse.limits._keeper import Keeper, owner_key
from cicadacourse.limits._messages import SliceReply, SliceRequest
from cicadacourse.limits._settings import (
    ADMITTED_LOCALLY,
    REFUSED,
    SHARES,
    LimitsSettings,
)
from cicadacourse.limits._share import Share
from cicadacourse.peers import handles
from cicadacourse.tables import Route
from cicadacourse.util.clock import now

_SWEEP_PERIOD_S = 1.0
_SWEEP_LIMIT = 200
_REFILL_TRIES = 3
_NEVER_S = 86_400.0

REASON_RATE = "organisation_rate"
REASON_KEEPER = "organisation_keeper_unreachable"
REASON_BURST = "over_organisation_burst"


@SERVICES.register("limits")
class Limits(Service):
    """Admits from slices of a bucket that the organisation's keeper holds."""

    name = "limits"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._settings = app.settings.get(LimitsSettings)
        self._share_by_id: cachetools.LRUCache[tuple[str, str], Share] = (
            cachetools.LRUCache(self._settings.max_buckets)
        )
        self._keeper: Keeper | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keeps the buckets of the organisations that this instance owns."""
        own_name = self.app.get("membership").self_member().name
        self._keeper = Keeper(self.app, own_name, now())
        self.app.events.connect(RESUMED_AFTER_PAUSE, self._forget_ownership)
        self._start_task(self._sweep())
        try:
            yield
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def admit(
        self, organisation: str, route: Route, tokens: float, deadline: float
    ) -> Result[None, Error]:
        """Takes tokens from the organisation's limit on a route.

        :param deadline: when the request must have ended, loop time in seconds.
        :returns: ``LIMIT_EXCEEDED`` with when to come back if they are not there now,
            ``TOO_LARGE`` if they never will be.
        """
        if tokens > route.organisation_burst:
            detail = f"{tokens:g} tokens, at most {route.organisation_burst:g} at once"
            return self._refuse(ErrorKind.TOO_LARGE, REASON_BURST, detail, None)
        share = self._share(organisation, route)
        share.use_limit(route.organisation_rate, route.organisation_burst)
        share.demand.add(tokens, now())
        for _ in range(_REFILL_TRIES):
            if share.spend(tokens, now()):
                return Success(None)
            if share.keeper_lost_until > now():
                return self._admit_locally(share, route, tokens)
            if share.wait_s(tokens, now()) > 0:
                break
            await self._refill(share, organisation, route, tokens, deadline)
        if share.spend(tokens, now()):
            return Success(None)
        wait_s = max(share.wait_s(tokens, now()), self._settings.short_s)
        retry_after_s = min(wait_s, _NEVER_S)
        detail = f"{organisation} asked for more than {route.organisation_rate:g} per s"
        return self._refuse(
            ErrorKind.LIMIT_EXCEEDED, REASON_RATE, detail, retry_after_s
        )

    def organisations(self) -> list[dict[str, Any]]:
        """Returns the buckets that this instance keeps, as JSON for ``show``."""
        rows = self._keeper.rows() if self._keeper else []
        return [attrs.asdict(row) for row in rows]

    @handles(SliceRequest)
    async def on_slice_request(self, request: SliceRequest) -> SliceReply:
        """Grants a slice if this instance is the organisation's keeper."""
        self._note_members()
        membership = self.app.get("membership")
        owner = membership.owner(owner_key(request.organisation))
        if self._keeper is None or owner.name != membership.self_member().name:
            detail = f"{request.organisation} is kept by {owner.name}"
            raise CicadacourseError(Error(ErrorKind.NOT_READY, detail, "not_keeper"))
        return self._keeper.grant(request)

    def _share(self, organisation: str, route: Route) -> Share:
        share_id = (organisation, route.name)
        share = self._share_by_id.get(share_id)
        if share is None:
            share = self._share_by_id[share_id] = Share(self._settings.slice_s)
        return share

    async def _refill(
        self,
        share: Share,
        organisation: str,
        route: Route,
        tokens: float,
        deadline: float,
    ) -> None:
        """Asks the keeper for a slice, or waits for one that is asked for already."""
        if share.refill is None:
            coroutine = self._fetch_slice(share, organisation, route, tokens)
            share.refill = self._start_task(coroutine)
        timeout_s = min(2 * self._settings.keeper_timeout_s, deadline - now())
        await asyncio.wait({share.refill}, timeout=max(0.0, timeout_s))

    async def _fetch_slice(
        self, share: Share, organisation: str, route: Route, tokens: float
    ) -> None:
        asked_at = now()
        wanted = share.wanted(tokens, asked_at)
        request = SliceRequest(
            organisation=organisation,
            route=route.name,
            rate=route.organisation_rate,
            burst=route.organisation_burst,
            needed=tokens,
            wanted=min(wanted, route.organisation_burst),
        )
        keeper = self.app.get("membership").owner(owner_key(organisation))
        timeout_s = self._settings.keeper_timeout_s
        peers = self.app.get("peers")
        try:
            result = await peers.call(keeper.peer_address, request, timeout_s)
        finally:
            share.refill = None
        match result:
            case Success(SliceReply() as reply):
                self._take_slice(share, request, reply, asked_at)
            case _:
                share.keeper_lost_until = now() + self._settings.keeper_retry_s

    def _take_slice(
        self, share: Share, request: SliceRequest, reply: SliceReply, asked_at: float
    ) -> None:
        """Notes a slice; its life counts from the asking, before it was granted."""
        left = TokenBucket(request.rate, request.burst, reply.level, asked_at)
        share.note_left(left)
        if reply.tokens > 0:
            share.add(reply.tokens, asked_at + self._settings.slice_life_s, now())
        if reply.tokens < request.wanted:
            needed = 0.0 if reply.tokens > 0 else request.needed
            share.note_short(needed, now() + self._settings.short_s)

    def _admit_locally(
        self, share: Share, route: Route, tokens: float
    ) -> Result[None, Error]:
        """Admits this instance's part of the limit while there is no keeper."""
        live = len(self.app.get("membership").dispatch_members())
        rate, burst = route.organisation_rate / live, route.organisation_burst / live
        if share.local is None:
            share.local = TokenBucket(rate, burst, burst, now())
        share.local.fill(now())
        share.local.change(rate, burst)
        if share.local.take(tokens):
            self.app.metrics.count(ADMITTED_LOCALLY)
            return Success(None)
        retry_after_s = share.keeper_lost_until - now()
        detail = "the keeper of the organisation's limit does not answer"
        return self._refuse(
            ErrorKind.LIMIT_EXCEEDED, REASON_KEEPER, detail, retry_after_s
        )

    def _refuse(
        self, kind: ErrorKind, reason: str, detail: str, retry_after_s: float | None
    ) -> Result[None, Error]:
        self.app.metrics.count(REFUSED, reason=reason)
        return Failure(Error(kind, detail, reason, retry_after_s=retry_after_s))

    def _note_members(self) -> None:
        members = self.app.get("membership").dispatch_members()
        if self._keeper is not None:
            self._keeper.note_members(tuple(member.name for member in members))

    def _forget_ownership(self) -> None:
        """Counts ownership from now on, as another may have taken it meanwhile."""
        if self._keeper is not None:
            self._keeper.note_members(())

    async def _sweep(self) -> None:
        while True:
            self._note_members()
            self._keeper.sweep(_SWEEP_LIMIT)
            self.app.metrics.set(SHARES, len(self._share_by_id))
            await asyncio.sleep(_SWEEP_PERIOD_S)

    def _start_task(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
