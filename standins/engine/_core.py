"""The engine in memory, on the loop's clock."""

from __future__ import annotations

import asyncio
import random
from typing import AsyncIterator, Mapping

from cicadacourse.util.clock import now
from cicadacourse.util.hashing import prefix_hashes
from cicadacourse.util.tokens import count_tokens
from standins._refusal import Refusal
from standins.engine._answer import prompt_seed
from standins.engine._batching import apply_step, plan_step
from standins.engine._cache import BLOCK_TOKENS, PrefixCache
from standins.engine._exports import ExportTable
from standins.engine._faults import EngineFaults
from standins.engine._load import LoadHistory
from standins.engine._messages import (
    STATE_FINISHED,
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
from standins.engine._session import Session
from standins.engine._settings import EngineSettings
from standins.engine._stream import read_lines

MAX_PREFIX_BLOCKS = 4096


class EngineRefusal(Refusal):
    """The engine's refusal of one call."""


class EngineCore:
    """One model engine, with the methods of its HTTP interface.

    A call to an engine that is down raises :class:`ConnectionError`; a refused call
    raises :class:`EngineRefusal`.

    :param peers_by_address: other engines, to fetch KV cache from; values have
        ``sessions()`` and ``fetch_export(handle)``.
    :param model: what the engine has loaded at first.
    """

    def __init__(
        self,
        name: str = "engine",
        settings: EngineSettings = EngineSettings(),
        seed: int = 0,
        peers_by_address: Mapping[str, EngineCore] | None = None,
        model: LoadedModel | None = None,
    ) -> None:
        self.name = name
        self.settings = settings
        self.faults = EngineFaults()
        self.peers_by_address = {} if peers_by_address is None else peers_by_address
        self.model = model or LoadedModel(settings=settings)
        self._seed = seed
        self._task: asyncio.Task | None = None
        self._arrivals = 0
        self._lose_memory()

    def crash(self) -> None:
        """Loses all sessions and the cache and refuses connections."""
        for session in self._sessions_by_name.values():
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
        session = self._sessions_by_name.get(name)
        if session is None or session.request is None or position < session.first:
            raise EngineRefusal(404, "unknown")
        async for line in read_lines(self, session, position):
            yield line

    async def sessions(self) -> SessionList:
        """Lists every session that holds memory."""
        await self._enter()
        rows = tuple(session.info() for session in self._sessions_by_name.values())
        return SessionList(
            sessions=rows,
            kv_used=self._kv_used(),
            kv_capacity=self.settings.kv_capacity,
        )

    async def release(self, name: str) -> None:
        """Cancels a session and frees its memory; idempotent."""
        await self._enter()
        self._remove(name)

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
        session = self._sessions_by_name.get(request.session)
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
        session = self._sessions_by_name.get(name)
        if session is None or session.state != STATE_HELD:
            raise EngineRefusal(404)
        return self._exports.add(session.name, session.kv_tokens, session.prefilled)

    async def fetch_export(self, handle: str) -> Export:
        """Returns an export whose session still exists, for another engine."""
        await self._enter()
        export = self._exports.find(handle)
        if export is None or self._exports.session(handle) not in (
            self._sessions_by_name
        ):
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
        return self._load.reported(self.faults.report_lag_s)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Returns cache events behind a sequence number, late and with gaps."""
        await self._enter()
        return self._cache.events(after, self.faults.report_lag_s)

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
            self._cache.clear()
        return self.model.state()

    def forget_finished(self) -> None:
        """Frees finished sessions and reservations whose time is over."""
        time = now()
        for session in list(self._sessions_by_name.values()):
            if session.state == STATE_FINISHED:
                over = time - session.finished_at > self.settings.finished_keep_s
            else:
                over = session.state == STATE_RESERVED and session.timed_out
            if over:
                self._remove(session.name)

    async def _enter(self) -> None:
        """Waits out silence, then checks that the engine is up."""
        await self.faults.pause()
        if self.faults.down:
            raise ConnectionRefusedError(self.name)
        self.forget_finished()

    def _lose_memory(self) -> None:
        self._sessions_by_name: dict[str, Session] = {}
        self._cache = PrefixCache(random.Random(f"{self.name}/{self._seed}"))
        self._exports = ExportTable()
        self._load = LoadHistory(self.settings.kv_capacity)

    def _kv_used(self) -> int:
        return sum(session.kv_tokens for session in self._sessions_by_name.values())

    def _check_new(self, name: str, kv_tokens: int) -> None:
        """Refuses a session whose name is taken or that does not fit."""
        if name in self._sessions_by_name:
            raise EngineRefusal(409)
        if self.faults.refuse or self.model.loading:
            raise self._refuse_for_now()
        if kv_tokens > self.settings.kv_capacity:
            raise EngineRefusal(413)
        if self._kv_used() + kv_tokens > self.settings.kv_capacity:
            raise self._refuse_for_now()

    def _refuse_for_now(self) -> EngineRefusal:
        return EngineRefusal(503, retry_after_s=self.settings.retry_after_s)

    def _add(
        self, name: str, owner: str, state: str, kv_tokens: int, time_limit_s: float
    ) -> Session:
        self._arrivals += 1
        session = Session(name, owner, state, kv_tokens, time_limit_s, self._arrivals)
        self._sessions_by_name[name] = session
        self._cache.shrink(self.settings.kv_capacity - self._kv_used())
        self._note_load()
        return session

    def _remove(self, name: str) -> None:
        session = self._sessions_by_name.pop(name, None)
        if session is None:
            return
        session.released = True
        self._cache.unpin(session.pinned)
        self._cache.shrink(self.settings.kv_capacity - self._kv_used())
        session.notify()
        self._note_load()

    async def _start(self, request: GenerateRequest) -> Session:
        """Admits a request and starts its session."""
        members_kv, members_prefilled = await self._check_members(request)
        prompt = request.prompt.encode()
        prompt_tokens = count_tokens(prompt)
        own_kv = max(prompt_tokens + request.max_tokens - members_kv, 0)
        held = self._sessions_by_name.get(request.session)
        session = self._admit(request, held, own_kv)
        session.request = request
        session.priority = request.priority
        session.blocks = tuple(prefix_hashes(prompt, MAX_PREFIX_BLOCKS))
        cached = self._cache.matched_blocks(session.blocks) * BLOCK_TOKENS
        known = max(cached, members_prefilled + session.prefilled)
        session.prefill_left = max(prompt_tokens - known, 1)
        session.answer_seed = prompt_seed(request.prompt)
        session.first = session.produced = count_tokens(request.emitted)
        session.total = request.max_tokens
        self._note_load()
        self._ensure_stepping()
        return session

    def _admit(
        self, request: GenerateRequest, held: Session | None, kv_tokens: int
    ) -> Session:
        """Takes up a reserved or held session, or makes a new one."""
        if self._running_count() >= self.settings.max_streams:
            raise self._refuse_for_now()
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
        held.state = STATE_RUNNING
        held.started_at = now()
        held.time_limit_s = request.time_limit_s
        return held

    async def _check_members(self, request: GenerateRequest) -> tuple[int, int]:
        """Returns the memory and the prompt tokens that the members hold."""
        kv_tokens = prefilled = 0
        for member in request.members:
            peer = self.peers_by_address.get(member.address)
            if peer is None:
                raise EngineRefusal(502)
            listed = await peer.sessions()
            rows = {row.session: row for row in listed.sessions}
            row = rows.get(member.session)
            if row is None or row.state != STATE_HELD:
                raise EngineRefusal(424)
            kv_tokens += row.kv_tokens
            prefilled += row.prefilled_tokens
        return kv_tokens, prefilled

    def _running_count(self) -> int:
        states = [session.state for session in self._sessions_by_name.values()]
        return states.count(STATE_RUNNING)

    def _note_load(self) -> None:
        waiting = [s for s in self._sessions_by_name.values() if s.prefill_left > 0]
        running = self._running_count()
        self._load.note(self._kv_used(), running, len(waiting))

    def _ensure_stepping(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._step_while_busy())

    async def _step_while_busy(self) -> None:
        """Runs steps until no session has work."""
        while True:
            await self.faults.pause()
            sessions = self._sessions_by_name.values()
            step = plan_step(sessions, self.settings.chunk_tokens)
            if step is None:
                return
            await asyncio.sleep(step.duration_s(self.settings) * self.faults.slow)
            for session in apply_step(step, self.settings.tokens_per_line):
                self._complete(session)

    def _finish(self, session: Session) -> None:
        """Keeps the answer for resuming and gives its memory to the cache."""
        session.state = STATE_FINISHED
        session.finished_at = now()
        session.kv_tokens = 0
        self._cache.unpin(session.pinned)
        session.pinned = ()
        self._cache.shrink(self.settings.kv_capacity - self._kv_used())

    def _complete(self, session: Session) -> None:
        """Notes the end of a session's prefill or answer."""
        if session.released or session.state != STATE_RUNNING:
            return
        if not session.pinned:
            session.pinned = session.blocks
            self._cache.pin(session.pinned)
        if session.produced >= session.total:
            self._finish(session)
        session.notify()
        self._note_load()
