"""Requests and answers of the engine."""

from __future__ import annotations

from typing import Any

import attrs

STATE_RESERVED = "reserved"
STATE_RUNNING = "running"
STATE_HELD = "held"
STATE_FINISHED = "finished"

EVENT_STORED = "stored"
EVENT_EVICTED = "evicted"


@attrs.frozen
class MemberRef:
    """A session on another engine that holds a slice of the same prompt."""

    address: str
    session: str


@attrs.frozen(kw_only=True)
class GenerateRequest:
    """Asks for an answer.

    :param session: name of the new session, or of a reserved or held one.
    :param emitted: text already delivered; the answer goes on behind it.
    :param max_tokens: length of the whole answer, with what was emitted.
    :param priority: higher first.
    :param members: where the rest of a prompt larger than one engine is held.
    """

    session: str
    request: str
    attempt: int = 0
    owner: str = ""
    prompt: str = ""
    emitted: str = ""
    max_tokens: int = 16
    priority: int = 0
    time_limit_s: float = 60.0
    members: tuple[MemberRef, ...] = ()


@attrs.frozen(kw_only=True)
class Line:
    """One line of an answer: some text at a position, or the end mark.

    :param position: index of the text's first token; at the end, their count.
    """

    session: str
    request: str
    attempt: int
    position: int
    text: str = ""
    end: bool = False

    def to_json(self) -> dict[str, Any]:
        """Returns the line's JSON object."""
        body = attrs.asdict(self)
        del body["text" if self.end else "end"]
        return body


@attrs.frozen(kw_only=True)
class SessionInfo:
    """One row of an engine's session list."""

    session: str
    owner: str
    state: str
    kv_tokens: int
    age_s: float
    time_limit_s: float
    prefilled_tokens: int = 0


@attrs.frozen(kw_only=True)
class SessionList:
    """All sessions of an engine and the memory they hold, in tokens."""

    sessions: tuple[SessionInfo, ...]
    kv_used: int
    kv_capacity: int


@attrs.frozen(kw_only=True)
class Reservation:
    """Asks for memory ahead of its use."""

    session: str
    owner: str
    kv_tokens: int
    time_limit_s: float


@attrs.frozen(kw_only=True)
class Prefill:
    """Fills a reserved session with a slice of a prompt.

    :param prompt: the text of the slice.
    :param offset: where the slice starts, in tokens of the whole prompt.
    """

    session: str
    prompt: str
    offset: int = 0
    priority: int = 0


@attrs.frozen(kw_only=True)
class Export:
    """KV cache of a held session, made ready for another engine to fetch."""

    handle: str
    kv_tokens: int
    session: str = ""
    prefilled_tokens: int = 0


@attrs.frozen(kw_only=True)
class Import:
    """Asks an engine to fetch KV cache that another one exports."""

    session: str
    from_address: str
    handle: str
    owner: str
    time_limit_s: float


@attrs.frozen(kw_only=True)
class Load:
    """An engine's load as it reports it, with a lag."""

    kv_used: int
    kv_capacity: int
    running: int
    waiting: int
    measured_at: float


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A block of the prefix cache was stored or evicted."""

    sequence: int
    kind: str
    block: int


@attrs.frozen(kw_only=True)
class Order:
    """The whole state wanted of an engine, with the fencing token."""

    token: int
    holder: str
    model: str
    model_version: int
    adapter: str = ""
    role: str = "mixed"


@attrs.frozen(kw_only=True)
class State:
    """What an engine serves and who ordered it last."""

    model: str
    model_version: int
    adapter: str
    role: str
    checks_fencing: bool
    last_token: int
    loading: bool
