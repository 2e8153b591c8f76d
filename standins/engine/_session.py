"""One session of an engine: the memory it holds and the answer it makes."""

from __future__ import annotations

import asyncio

import attrs

from cicadacourse.util.clock import now
from cicadacourse.util.tokens import count_tokens
from standins.engine._answer import answer_slice, prompt_seed
from standins.engine._messages import (
    STATE_FINISHED,
    STATE_RUNNING,
    GenerateRequest,
    SessionInfo,
)


@attrs.define(eq=False)
class Session:
    """A session's memory and progress.

    :param order: place in the order of arrival.
    :param prefill_left: prompt tokens that wait to be processed.
    :param prefilled: prompt tokens whose KV is here.
    :param first: position of the first token made here.
    :param produced: position behind the last token made.
    :param total: length of the whole answer, in tokens.
    :param broken: whether a member of its group lost its slice.
    :param pinned: cached blocks that the session holds.
    """

    name: str
    owner: str
    state: str
    kv_tokens: int
    time_limit_s: float
    order: int
    started_at: float = attrs.Factory(now)
    finished_at: float | None = None
    priority: int = 0
    request: GenerateRequest | None = None
    blocks: tuple[int, ...] = ()
    pinned: tuple[int, ...] = ()
    prefill_left: int = 0
    prefilled: int = 0
    first: int = 0
    produced: int = 0
    total: int = 0
    answer_seed: int = 0
    released: bool = False
    broken: bool = False
    _waiters: list[asyncio.Future] = attrs.field(factory=list)

    @property
    def age_s(self) -> float:
        """Seconds since the session began."""
        return now() - self.started_at

    @property
    def timed_out(self) -> bool:
        """Whether the time limit has passed."""
        return self.age_s > self.time_limit_s

    @property
    def stopped(self) -> bool:
        """Whether the session was cut off before its end."""
        return (
            self.released
            or self.broken
            or (self.state != STATE_FINISHED and self.timed_out)
        )

    @property
    def prefilling(self) -> bool:
        """Whether prompt tokens wait to be processed."""
        return self.prefill_left > 0 and not self.stopped

    @property
    def decoding(self) -> bool:
        """Whether the next step makes a token of it."""
        return (
            self.state == STATE_RUNNING
            and self.prefill_left == 0
            and self.produced < self.total
            and not self.stopped
        )

    @property
    def ended(self) -> bool:
        """Whether no further token will be made."""
        return self.stopped or self.state == STATE_FINISHED

    def begin(self, request: GenerateRequest, prefill_left: int) -> None:
        """Starts on a request.

        :param prefill_left: prompt tokens that are still to be processed.
        """
        self.state = STATE_RUNNING
        self.started_at = now()
        self.time_limit_s = request.time_limit_s
        self.request = request
        self.priority = request.priority
        self.prefill_left = prefill_left
        self.answer_seed = prompt_seed(request.prompt)
        self.first = self.produced = count_tokens(request.emitted)
        self.total = request.max_tokens

    def text(self, start: int, stop: int) -> str:
        """Returns the answer's tokens from ``start`` up to ``stop``."""
        return answer_slice(self.answer_seed, start, stop)

    def info(self) -> SessionInfo:
        """Returns the row of the session list."""
        return SessionInfo(
            session=self.name,
            owner=self.owner,
            state=self.state,
            kv_tokens=self.kv_tokens,
            age_s=self.age_s,
            time_limit_s=self.time_limit_s,
            prefilled_tokens=self.prefilled,
        )

    def notify(self) -> None:
        """Wakes everyone who waits for progress."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def progress(self, timeout_s: float) -> None:
        """Waits until the session goes on, or for a time."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await asyncio.wait([waiter], timeout=timeout_s)
