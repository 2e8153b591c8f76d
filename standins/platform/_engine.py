"""An engine by the time model of the product: passes, parts, tickets, preemption.

It runs on the event loop's clock, so tests pause and advance it.
"""

from __future__ import annotations

import asyncio
from typing import AsyncIterator, Sequence

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.util.clock import now


class EngineRefusal(Exception):
    """The engine did not run the request; it may name the engine at fault.

    :param reason: ``full``, ``leaving``, ``no_ticket`` or ``helper``.
    """

    def __init__(self, reason: str, fault_at: Engine | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.fault_at = fault_at


class StreamCut(Exception):
    """The engine broke a stream off."""


@attrs.define(eq=False)
class _Part:
    """A share of a prompt that one engine reads.

    :param tokens: how many tokens it reads.
    :param left_s: seconds of reading that are left.
    """

    tokens: int
    left_s: float
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class _Stream:
    """One request in progress."""

    prompt_tokens: int
    output_tokens: int
    kept_tokens: int
    own_part: _Part
    parts: Sequence[_Part]
    admitted: float
    next_token: int = 0
    is_writing: bool = False
    events: asyncio.Queue[int | None] = attrs.field(factory=asyncio.Queue)


@attrs.define
class _Ticket:
    """Reserved memory; ``expires`` is loop time in seconds."""

    tokens: int
    expires: float


class Engine:
    """One engine.

    :param profile: its time model.
    :param name: for messages.
    :ivar fault: ``dead`` (nothing moves), or empty.
    :ivar slowness: factor on all times.
    :ivar longest_pass_s: the longest pass since the start.
    """

    def __init__(self, profile: EngineProfile, name: str = "engine") -> None:
        self.profile = profile
        self.name = name
        self.fault = ""
        self.slowness = 1.0
        self.leaving = False
        self.runs = 0
        self.refused = 0
        self.preempted = 0
        self.longest_pass_s = 0.0
        self._streams: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._help: list[_Part] = []
        self._ticket_by_id: dict[str, _Ticket] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def reserved_tokens(self) -> int:
        """Memory that tickets hold, whether used or not."""
        self._drop_expired()
        return sum(ticket.tokens for ticket in self._ticket_by_id.values())

    @property
    def used_tokens(self) -> int:
        """Memory that streams and tickets hold."""
        held = sum(item.kept_tokens + _written(item) for item in self._streams)
        return held + self.reserved_tokens

    @property
    def in_progress(self) -> int:
        """Streams that run or wait."""
        return len(self._streams) + len(self._waiting)

    def reserve(self, ticket_id: str, tokens: int, hold_s: float) -> bool:
        """Reserves memory or renews a ticket; returns whether it is held."""
        known = self._ticket_by_id.get(ticket_id)
        if known is not None:
            known.expires = now() + hold_s
            return True
        if self.used_tokens + tokens > self.profile.kv_tokens:
            return False
        self._ticket_by_id[ticket_id] = _Ticket(tokens, now() + hold_s)
        return True

    def release(self, ticket_id: str) -> None:
        """Releases a ticket's memory."""
        self._ticket_by_id.pop(ticket_id, None)

    async def run(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]] = (),
        first_event: int = 0,
    ) -> AsyncIterator[int]:
        """Yields the numbers of the events of one stream as they are made.

        :param first_event: events before this one were made elsewhere.
        :raises EngineRefusal: before the first event, if it did not run.
        :raises StreamCut: if it breaks off.
        """
        stream = self._admit(prompt_tokens, output_tokens, helpers, first_event)
        try:
            while True:
                number = await stream.events.get()
                if number is None:
                    return
                yield number
        finally:
            self._remove(stream)
            for (helper, _), part in zip(helpers, stream.parts):
                helper.drop(part)

    def _admit(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]],
        first_event: int,
    ) -> _Stream:
        if self.leaving:
            self._refuse("leaving")
        held_elsewhere = 0
        for helper, ticket_id in helpers:
            held_elsewhere += self._check_helper(helper, ticket_id)
        kept = max(0, prompt_tokens - held_elsewhere)
        if kept + output_tokens > self.profile.kv_tokens:
            self._refuse("full")
        part_s = self.profile.prefill_s(prompt_tokens) / (1 + len(helpers))
        part_tokens = prompt_tokens // (1 + len(helpers))
        parts = [_Part(part_tokens, part_s) for _ in helpers]
        own = _Part(part_tokens, part_s)
        stream = _Stream(prompt_tokens, output_tokens, kept, own, parts, now())
        stream.next_token = first_event * self.profile.steps_per_pass
        for (helper, _), part in zip(helpers, parts):
            helper.help(part)
        self._waiting.append(stream)
        self._wake()
        return stream

    def help(self, part: _Part) -> None:
        """Takes a part to read ahead of own prompts."""
        self._help.append(part)
        self._wake()

    def drop(self, part: _Part) -> None:
        """Reads a part no further whose request has ended."""
        if part in self._help:
            self._help.remove(part)

    def _check_helper(self, helper: Engine, ticket_id: str | None) -> int:
        """Returns the tokens that a helper's ticket holds."""
        if helper.leaving or len(helper._help) >= self.profile.slots:
            self._refuse("helper", helper)
        if ticket_id is None:
            return 0
        helper._drop_expired()
        ticket = helper._ticket_by_id.get(ticket_id)
        if ticket is None:
            self._refuse("no_ticket", helper)
        return ticket.tokens

    def _refuse(self, reason: str, fault_at: Engine | None = None) -> None:
        self.refused += 1
        raise EngineRefusal(reason, fault_at)

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._work())

    async def _work(self) -> None:
        while self._streams or self._waiting or self._help:
            if self.fault:
                await asyncio.sleep(0.1)
                continue
            self._start_waiting()
            duration_s = self._read_in_pass() * self.slowness
            self.longest_pass_s = max(self.longest_pass_s, duration_s)
            await asyncio.sleep(duration_s)
            self._finish_pass()

    def _start_waiting(self) -> None:
        """Admits streams in order while slots and memory are free."""
        while self._waiting and len(self._streams) < self.profile.slots:
            stream = self._waiting[0]
            if self._streams and not self._fits(stream):
                return
            self._streams.append(self._waiting.pop(0))
            self.runs += 1

    def _fits(self, stream: _Stream) -> bool:
        return self.used_tokens + stream.kept_tokens <= self.profile.kv_tokens

    def _read_in_pass(self) -> float:
        """Reads what one pass allows and returns the seconds of the pass.

        Parts of others' prompts go before own prompts, the newest of them first.
        """
        writers = [item for item in self._streams if item.is_writing]
        context = sum(item.prompt_tokens + _written(item) for item in writers)
        steps = self.profile.steps_per_pass if writers else 1
        budget = steps * self.profile.chunk_tokens
        read_s = 0.0
        own = [item.own_part for item in self._streams if not item.is_writing]
        for part in [*reversed(self._help), *own]:
            if budget <= 0 or part.left_s <= 0:
                continue
            rate = part.tokens / part.left_s if part.tokens else 0.0
            tokens = min(part.tokens, budget)
            spent_s = tokens / rate if rate else part.left_s
            part.tokens -= tokens
            part.left_s = max(0.0, part.left_s - spent_s)
            budget -= tokens
            read_s += spent_s
        return self.profile.pass_s(len(writers), context) + read_s

    def _finish_pass(self) -> None:
        for part in [item for item in self._help if item.left_s <= 0]:
            part.done.set()
            self._help.remove(part)
        for stream in list(self._streams):
            if stream.is_writing:
                self._write(stream)
            elif stream.own_part.left_s <= 0 and _all_done(stream.parts):
                stream.is_writing = True
                self._write(stream)
        self._preempt()

    def _write(self, stream: _Stream) -> None:
        steps = self.profile.steps_per_pass
        stream.events.put_nowait(stream.next_token // steps)
        stream.next_token += steps
        if stream.next_token >= stream.output_tokens:
            stream.events.put_nowait(None)
            self._remove(stream)

    def _preempt(self) -> None:
        """Puts the newest streams back while the memory is overfull."""
        while len(self._streams) > 1 and self.used_tokens > self.profile.kv_tokens:
            newest = max(self._streams, key=lambda item: item.admitted)
            self._streams.remove(newest)
            newest.is_writing = False
            newest.own_part = _Part(
                newest.prompt_tokens, self.profile.prefill_s(newest.prompt_tokens)
            )
            self._waiting.insert(0, newest)
            self.preempted += 1

    def _remove(self, stream: _Stream) -> None:
        if stream in self._streams:
            self._streams.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    def _drop_expired(self) -> None:
        at = now()
        lapsed = [key for key, item in self._ticket_by_id.items() if item.expires <= at]
        for key in lapsed:
            del self._ticket_by_id[key]


def _written(stream: _Stream) -> int:
    return min(stream.next_token, stream.output_tokens)


def _all_done(parts: Sequence[_Part]) -> bool:
    return all(part.done.is_set() for part in parts)
