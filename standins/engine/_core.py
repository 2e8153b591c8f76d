"""The engine in memory, on the loop's clock."""

from __future__ import annotations

import asyncio
import random
from typing import AsyncIterator, Mapping

from cicadacourse.util.hashing import prefix_hashes
from cicadacourse.util.tokens import count_tokens
from standins._refusal import Refusal
from standins.engine._batching import apply_step, plan_step
from standins.engine._cache import BLOCK_TOKENS
from standins.engine._faults import EngineFaults
from standins.engine._group import EnginePeer, check_members
from standins.engine._memory import Memory
from standins.engine._messages import (
    STATE_HELD,
    STATE_RESERVED,
    STATE_RUNNING,
    CacheEvent,
    Export,
    GenerateRequest,
    Import,
    Line,
    Load,
    Order,
    Prefill,
    Reservation,
    SessionInfo,
    SessionList,
    State,
)
from standins.engine._model import LoadedModel
from standins.engine._refusal import EngineRefusal
from standins.engine._session import Session
from standins.engine._settings import EngineSettings
from standins.engine._stream import read_lines

MAX_PREFIX_BLOCKS = 4096
GROUP_CHECK_S = 1.0


class EngineCore:
    """One model engine, with the methods of its HTTP interface.

    A call to an engine that is down raises :class:`ConnectionError`; a refused call
    raises :class:`EngineRefusal`.

    :param peers_by_address: other engines, to fetch KV cache from.
    :param model: what the engine has loaded at first.
    """

    def __init__(
        self,
        name: str = "engine",
        settings: EngineSettings = EngineSettings(),
        seed: int = 0,
        peers_by_address: Mapping[str, EnginePeer] | None = None,
        model: LoadedModel | None = None,
    ) -> None:
        self.name = name
        self.settings = settings
        self.faults = EngineFaults()
        self.peers_by_address = {} if peers_by_address is None else peers_by_address
        self.model = model or LoadedModel(settings=settings)
        self._seed = seed
        self._task: asyncio.Task | None = None
        self._watches: set[asyncio.Task] = set()
        self._arrivals = 0
        self._lose_memory()

    @property
    def arrivals(self) -> int:
        """How many sessions have begun since the engine was made."""
        return self._arrivals

    @property
    def kv_used(self) -> int:
        """Memory that sessions hold, in tokens."""
        return self._memory.kv_used

    def crash(self) -> None:
        """Loses all sessions and the cache and refuses connections."""
        for session in self._memory:
            session.released = True
            session.notify()
        self.faults.down = True
        self._lose_memory()

    def restart(self) -> None:
        """Takes connections again after a crash."""
        self.faults.down = False

    async def generate(self, request: GenerateRequest) -> AsyncIterator[Line]:
        """Starts a session and yields the lines of its answer."""
        await self._enter()
        session = await self._start(request)
        async for line in read_lines(self, session, session.first):
            yield line

    async def stream(self, name: str, position: int) -> AsyncIterator[Line]:
        """Yields a running or kept answer from a position on; 404 if it is gone."""
        await self._enter()
        session = self._memory.find(name)
        if session is None or session.request is None or position < session.first:
            raise EngineRefusal(404, "unknown")
        async for line in read_lines(self, session, position):
            yield line

    async def sessions(self) -> SessionList:
        """Lists every session that holds memory."""
        await self._enter()
        rows = tuple(session.info() for session in self._memory)
        return SessionList(
            sessions=rows,
            kv_used=self._memory.kv_used,
            kv_capacity=self.settings.kv_capacity,
        )

    async def release(self, name: str) -> None:
        """Cancels a session and frees its memory; idempotent."""
        await self._enter()
        self._memory.remove(name)

    async def reserve(self, request: Reservation) -> SessionInfo:
        """Reserves memory, all or nothing; the reservation expires."""
        await self._enter()
        self._check_new(request.session, request.kv_tokens)
        session = self._add(
            request.session,
            request.owner,
            STATE_RESERVED,
            request.kv_tokens,
            request.time_limit_s,
        )
        return session.info()

    async def prefill(self, request: Prefill) -> SessionInfo:
        """Fills a reserved session with its slice of a prompt, then holds it."""
        await self._enter()
        session = self._memory.find(request.session)
        if session is None or session.state != STATE_RESERVED:
            raise EngineRefusal(404)
        tokens = count_tokens(request.prompt)
        if session.prefilled + tokens > session.kv_tokens:
            raise EngineRefusal(413)
        session.priority = request.priority
        session.prefill_left += tokens
        self._ensure_stepping()
        while session.prefilling:
            await session.progress(timeout_s=1.0)
        if session.released or session.prefill_left:
            raise EngineRefusal(404, "failed")
        session.state = STATE_HELD
        return session.info()

    async def export(self, name: str) -> Export:
        """Makes a held session's KV cache ready to be fetched."""
        await self._enter()
        session = self._memory.find(name)
        if session is None or session.state != STATE_HELD:
            raise EngineRefusal(404)
        return self._memory.exports.add(
            session.name, session.kv_tokens, session.prefilled
        )

    async def fetch_export(self, handle: str) -> Export:
        """Returns an export whose session still exists, for another engine."""
        await self._enter()
        export = self._memory.exports.find(handle)
        if export is None or self._memory.find(export.session) is None:
            raise EngineRefusal(404)
        return export

    async def import_kv(self, request: Import) -> SessionInfo:
        """Fetches an export from another engine and holds it."""
        await self._enter()
        peer = self.peers_by_address.get(request.from_address)
        if peer is None:
            raise EngineRefusal(502)
        export = await peer.fetch_export(request.handle)
        self._check_new(request.session, export.kv_tokens)
        session = self._add(
            request.session,
            request.owner,
            STATE_RESERVED,
            export.kv_tokens,
            request.time_limit_s,
        )
        await asyncio.sleep(export.kv_tokens / self.settings.copy_tokens_per_s)
        if session.released:
            raise EngineRefusal(404, "failed")
        session.prefilled = export.prefilled_tokens
        session.state = STATE_HELD
        return session.info()

    async def load(self) -> Load:
        """Returns the load as it was some time ago."""
        await self._enter()
        return self._memory.history.reported(self.faults.report_lag_s)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Returns cache events behind a sequence number, late and with gaps."""
        await self._enter()
        return self._memory.cache.events(after, self.faults.report_lag_s)

    async def state(self) -> State:
        """Returns what the engine serves."""
        await self._enter()
        return self.model.state()

    async def order(self, order: Order) -> State:
        """Takes an order, unless its token is old and the engine checks."""
        await self._enter()
        last_token = self.model.last_token
        checks = self.model.checks_fencing and not self.faults.ignore_fencing
        if checks and order.token < last_token:
            raise EngineRefusal(409, last_token=last_token)
        if self.model.take(order):
            self._memory.cache.clear()
        return self.model.state()

    async def _enter(self) -> None:
        """Waits out silence, then checks that the engine is up."""
        await self.faults.pause()
        if self.faults.down:
            raise ConnectionRefusedError(self.name)
        self._memory.forget_over()

    def _lose_memory(self) -> None:
        rng = random.Random(f"{self.name}/{self._seed}")
        self._memory = Memory(self.settings, rng)

    def _check_new(self, name: str, kv_tokens: int) -> None:
        """Refuses a session whose name is taken or that does not fit."""
        if self._memory.find(name) is not None:
            raise EngineRefusal(409)
        if self.faults.leaving:
            raise EngineRefusal(503, reason="leaving")
        if self.faults.refuse or self.model.loading:
            raise self._refuse_for_now()
        self._memory.check_fits(kv_tokens)

    def _refuse_for_now(self) -> EngineRefusal:
        return EngineRefusal(503, retry_after_s=self.settings.retry_after_s)

    def _add(
        self, name: str, owner: str, state: str, kv_tokens: int, time_limit_s: float
    ) -> Session:
        self._arrivals += 1
        return self._memory.add(
            Session(name, owner, state, kv_tokens, time_limit_s, self._arrivals)
        )

    async def _start(self, request: GenerateRequest) -> Session:
        """Admits a request and starts its session."""
        group = await check_members(request.members, self.peers_by_address)
        prompt = request.prompt.encode()
        prompt_tokens = count_tokens(prompt)
        own_kv = max(prompt_tokens + request.max_tokens - group.kv_tokens, 0)
        session = self._admit(request, own_kv)
        session.blocks = tuple(prefix_hashes(prompt, MAX_PREFIX_BLOCKS))
        cached = self._memory.cache.matched_blocks(session.blocks) * BLOCK_TOKENS
        known = max(cached, group.prefilled + session.prefilled)
        session.begin(request, max(prompt_tokens - known, 1))
        self._memory.note_load()
        self._ensure_stepping()
        if request.members:
            watch = asyncio.create_task(self._watch_group(session))
            self._watches.add(watch)
            watch.add_done_callback(self._watches.discard)
        return session

    async def _watch_group(self, session: Session) -> None:
        """Cuts a session off once a member of its group lost its slice."""
        while not session.ended:
            await asyncio.sleep(GROUP_CHECK_S)
            try:
                await check_members(session.request.members, self.peers_by_address)
            except (Refusal, ConnectionError):
                session.broken = not session.ended
                session.notify()

    def _admit(self, request: GenerateRequest, kv_tokens: int) -> Session:
        """Takes up a reserved or held session, or makes a new one."""
        if self._memory.running_count >= self.settings.max_streams:
            raise self._refuse_for_now()
        held = self._memory.find(request.session)
        if held is None:
            self._check_new(request.session, kv_tokens)
            return self._add(
                request.session,
                request.owner,
                STATE_RUNNING,
                kv_tokens,
                request.time_limit_s,
            )
        if held.state not in (STATE_RESERVED, STATE_HELD):
            raise EngineRefusal(409)
        if kv_tokens > held.kv_tokens:
            raise EngineRefusal(413)
        return held

    def _ensure_stepping(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._step_while_busy())

    async def _step_while_busy(self) -> None:
        """Runs steps until no session has work."""
        while True:
            await self.faults.pause()
            step = plan_step(self._memory, self.settings.chunk_tokens)
            if step is None:
                return
            await asyncio.sleep(step.duration_s(self.settings) * self.faults.slow)
            for session in apply_step(step, self.settings.tokens_per_line):
                self._complete(session)

    def _complete(self, session: Session) -> None:
        """Notes the end of a session's prefill or answer."""
        if session.released or session.state != STATE_RUNNING:
            return
        self._memory.hold_prefix(session)
        if session.produced >= session.total:
            self._memory.finish(session)
        session.notify()
        self._memory.note_load()
