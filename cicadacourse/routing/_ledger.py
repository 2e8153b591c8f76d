"""The grants in force on one engine and the memory that they hold."""

from __future__ import annotations

import attrs

from cicadacourse.endpoints import EngineSession, SessionList
from cicadacourse.routing._model import PromptClass, Work

START_WITHIN_S = 5.0
ADOPTED_END_S = 10.0


@attrs.define
class Granted:
    """One grant in force.

    :param key: the attempt it was made for; empty for an adopted session.
    :param start_by: when it lapses unless the engine lists its session.
    :param expected_end: when the memory will probably be free again.
    """

    session: str
    key: str
    prompt_class: PromptClass
    kv_tokens: int
    granted_at: float
    start_by: float
    expected_end: float


class Ledger:
    """Counts the memory granted on one engine, ahead of its lagging reports.

    A grant ends when it is given back, or when the engine's own list of sessions
    lacks it after the time to start it has passed.
    """

    def __init__(self) -> None:
        self._by_session: dict[str, Granted] = {}
        self._sessions_by_key: dict[str, str] = {}
        self._removed_at_by_session: dict[str, float] = {}
        self.kv_tokens = 0
        self.long_kv_tokens = 0

    def __len__(self) -> int:
        return len(self._by_session)

    def add(self, granted: Granted) -> None:
        """Counts a grant."""
        self._by_session[granted.session] = granted
        if granted.key:
            self._sessions_by_key[granted.key] = granted.session
        self._count(granted, 1)

    def remove(self, session: str, time: float) -> Granted | None:
        """Frees a grant's memory; returns None if it is not in force."""
        granted = self._by_session.pop(session, None)
        if granted is not None:
            self._sessions_by_key.pop(granted.key, None)
            self._removed_at_by_session[session] = time
            self._count(granted, -1)
        return granted

    def find(self, key: str) -> Granted | None:
        """Returns the grant made for an attempt, if it is in force."""
        return self._by_session.get(self._sessions_by_key.get(key, ""))

    def free_in_s(self, tokens: int, capacity: int, time: float) -> float:
        """Returns when that much memory will probably be free, in seconds."""
        lacking = self.kv_tokens + tokens - capacity
        if lacking <= 0:
            return 0.0
        by_end = sorted(self._by_session.values(), key=lambda one: one.expected_end)
        for granted in by_end:
            lacking -= granted.kv_tokens
            if lacking <= 0:
                return max(0.0, granted.expected_end - time)
        return ADOPTED_END_S

    def reconcile(self, listed: SessionList, long_tokens: int, time: float) -> None:
        """Takes over what the engine lists and drops what it no longer holds.

        A list may be older than a return, so a session that was given back just now
        is not taken over again.
        """
        self._forget_removed(time)
        holding = {row.session: row for row in listed.sessions if row.kv_tokens > 0}
        for session, granted in list(self._by_session.items()):
            if session not in holding and time > granted.start_by:
                self.remove(session, time)
        known = self._by_session.keys() | self._removed_at_by_session.keys()
        for session, row in holding.items():
            if session not in known:
                self.add(_adopt(row, long_tokens, time))

    def _forget_removed(self, time: float) -> None:
        self._removed_at_by_session = {
            session: removed_at
            for session, removed_at in self._removed_at_by_session.items()
            if time - removed_at < START_WITHIN_S
        }

    def _count(self, granted: Granted, sign: int) -> None:
        self.kv_tokens += sign * granted.kv_tokens
        if granted.prompt_class.is_long:
            self.long_kv_tokens += sign * granted.kv_tokens


def adopted_class(kv_tokens: int, long_tokens: int) -> PromptClass:
    """Returns the class of a session of which only the memory is known."""
    return PromptClass.LONG if kv_tokens >= long_tokens else PromptClass.SHORT


def _adopt(row: EngineSession, long_tokens: int, time: float) -> Granted:
    return Granted(
        session=row.session,
        key="",
        prompt_class=adopted_class(row.kv_tokens, long_tokens),
        kv_tokens=row.kv_tokens,
        granted_at=time,
        start_by=time,
        expected_end=time + ADOPTED_END_S,
    )


def key_of(work: Work) -> str:
    """Returns the key of an attempt; asking twice for one key gives one grant."""
    return f"{work.request_id}/{work.attempt}"
