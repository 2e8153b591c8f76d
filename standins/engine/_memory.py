"""The memory of an engine: who holds it and what the rest caches."""

from __future__ import annotations

import random
from typing import Iterator

from cicadacourse.util.clock import now
from standins.engine._cache import PrefixCache
from standins.engine._exports import ExportTable
from standins.engine._load import LoadHistory
from standins.engine._messages import STATE_FINISHED, STATE_RESERVED, STATE_RUNNING
from standins.engine._refusal import EngineRefusal
from standins.engine._session import Session
from standins.engine._settings import EngineSettings


class Memory:
    """The sessions of an engine; memory that none holds caches prefixes.

    :param rng: chooses the cache events that are lost.
    """

    def __init__(self, settings: EngineSettings, rng: random.Random) -> None:
        self.cache = PrefixCache(rng)
        self.exports = ExportTable()
        self.history = LoadHistory(settings.kv_capacity)
        self._settings = settings
        self._sessions_by_name: dict[str, Session] = {}

    def __iter__(self) -> Iterator[Session]:
        return iter(self._sessions_by_name.values())

    @property
    def kv_used(self) -> int:
        """Memory that sessions hold, in tokens."""
        return sum(session.kv_tokens for session in self)

    @property
    def running_count(self) -> int:
        """How many sessions make an answer."""
        return sum(session.state == STATE_RUNNING for session in self)

    def find(self, name: str) -> Session | None:
        """Returns the session of that name, or None."""
        return self._sessions_by_name.get(name)

    def check_fits(self, kv_tokens: int) -> None:
        """Refuses what is larger than the engine, or than what is left now."""
        if kv_tokens > self._settings.kv_capacity:
            raise EngineRefusal(413)
        if self.kv_used + kv_tokens > self._settings.kv_capacity:
            raise EngineRefusal(503, retry_after_s=self._settings.retry_after_s)

    def add(self, session: Session) -> Session:
        """Adds a session that fits."""
        self._sessions_by_name[session.name] = session
        self._shrink_cache()
        self.note_load()
        return session

    def remove(self, name: str) -> None:
        """Frees what a session holds; idempotent."""
        session = self._sessions_by_name.pop(name, None)
        if session is None:
            return
        session.released = True
        self._free(session)
        session.notify()
        self.note_load()

    def hold_prefix(self, session: Session) -> None:
        """Caches the session's prompt for as long as it runs."""
        if not session.pinned:
            session.pinned = session.blocks
            self.cache.pin(session.pinned)

    def finish(self, session: Session) -> None:
        """Keeps the answer for resuming and gives the memory to the cache."""
        session.state = STATE_FINISHED
        session.finished_at = now()
        self._free(session)

    def forget_over(self) -> None:
        """Removes finished sessions and reservations whose time is over."""
        earliest = now() - self._settings.finished_keep_s
        for session in list(self):
            if session.state == STATE_FINISHED:
                over = session.finished_at < earliest
            else:
                over = session.state == STATE_RESERVED and session.timed_out
            if over:
                self.remove(session.name)

    def note_load(self) -> None:
        """Keeps a sample of the load."""
        waiting = sum(session.prefill_left > 0 for session in self)
        self.history.note(self.kv_used, self.running_count, waiting)

    def _free(self, session: Session) -> None:
        session.kv_tokens = 0
        self.cache.unpin(session.pinned)
        session.pinned = ()
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        self.cache.shrink(self._settings.kv_capacity - self.kv_used)
