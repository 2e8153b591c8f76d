"""A stand-in for an engine that takes the time of an :class:`EngineProfile`.

Each pass decodes some steps of every decoding stream and prefills chunks of prompts.
Helpers prefill parts of a prompt for another engine, reservations hold KV cache, and
the newest streams are preempted when the KV cache overflows. All times are those of the
event loop's clock, so a test with a simulated clock need not wait for them.
"""

from __future__ import annotations

import asyncio
from typing import AsyncIterator, Sequence

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.util.clock import now


class EngineRefusal(Exception):
    """The engine refused a request and did not run it.

    :param reason: ``full``, ``leaving``, ``no_ticket`` (a helper does not know the
        reservation) or ``helper`` (a helper is leaving, fully used or unknown).
    :param faulty_engine: the helper that caused the refusal, or None.
    """

    def __init__(self, reason: str, faulty_engine: Engine | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.faulty_engine = faulty_engine


@attrs.define(eq=False)
class _PrefillPart:
    """A part of a prompt that one engine prefills.

    :param tokens: the tokens that are not yet prefilled.
    :param left_s: the seconds of prefill that are left.
    """

    tokens: int
    left_s: float
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class _Stream:
    """One request that waits or is in progress.

    :param local_prompt_tokens: the prompt tokens in this engine's own KV cache; the
        reservations at its helpers hold the rest.
    :param arrived: when the request came; loop time in seconds.
    :param next_token: the number of output tokens decoded so far, here or elsewhere.
    :param events: the numbers of the events made; None ends the stream.
    """

    prompt_tokens: int
    output_tokens: int
    local_prompt_tokens: int
    own_part: _PrefillPart
    helper_parts: Sequence[_PrefillPart]
    arrived: float
    next_token: int = 0
    is_decoding: bool = False
    events: asyncio.Queue[int | None] = attrs.field(factory=asyncio.Queue)


@attrs.define
class _Reservation:
    """Reserved KV cache; ``expires`` is loop time in seconds."""

    tokens: int
    expires: float


class Engine:
    """One engine.

    :param profile: its speed and capacity.
    :param name: its address, by which a refusal names it.
    :ivar fault: ``dead`` (no request makes progress), or empty.
    :ivar is_leaving: whether new requests, and parts as a helper, are refused.
    :ivar slowness: the factor by which each pass takes longer than the profile says.
    :ivar runs: how often a request was admitted to a slot, again after a preemption.
    :ivar refused: the number of refused requests.
    :ivar preempted: the number of preemptions.
    :ivar longest_pass_s: the longest pass since the start, in seconds.
    """

    def __init__(self, profile: EngineProfile, name: str = "engine") -> None:
        self.profile = profile
        self.name = name
        self.fault = ""
        self.slowness = 1.0
        self.is_leaving = False
        self.runs = 0
        self.refused = 0
        self.preempted = 0
        self.longest_pass_s = 0.0
        self._streams: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._helper_parts: list[_PrefillPart] = []
        self._reservation_by_id: dict[str, _Reservation] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def reserved_tokens(self) -> int:
        """The KV-cache tokens that reservations hold, whether used or not."""
        self._drop_expired_reservations()
        return sum(item.tokens for item in self._reservation_by_id.values())

    @property
    def reservation_ids(self) -> frozenset[str]:
        """The ids of the reservations that have not expired."""
        self._drop_expired_reservations()
        return frozenset(self._reservation_by_id)

    @property
    def used_tokens(self) -> int:
        """The KV-cache tokens that streams and reservations hold."""
        held = sum(
            item.local_prompt_tokens + _decoded_tokens(item) for item in self._streams
        )
        return held + self.reserved_tokens

    @property
    def in_progress(self) -> int:
        """The number of streams that run or wait."""
        return len(self._streams) + len(self._waiting)

    def reserve(self, reservation_id: str, tokens: int, hold_s: float) -> bool:
        """Reserves KV cache or renews a reservation.

        :param hold_s: the seconds from now after which the reservation expires.
        :returns: whether the KV cache is reserved; False if too little is free.
        """
        known = self._reservation_by_id.get(reservation_id)
        if known is not None:
            known.expires = now() + hold_s
            return True
        if self.used_tokens + tokens > self.profile.kv_tokens:
            return False
        self._reservation_by_id[reservation_id] = _Reservation(tokens, now() + hold_s)
        return True

    def release(self, reservation_id: str) -> None:
        """Frees the KV cache of a reservation, if there is one of this id."""
        self._reservation_by_id.pop(reservation_id, None)

    async def run(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]] = (),
        first_event: int = 0,
    ) -> AsyncIterator[int]:
        """Yields the numbers of the events of one stream as they are made.

        :param helpers: the engines that prefill equal parts of the prompt, each with
            the id of its reservation or None.
        :param first_event: the number of the first event to make; those before it came
            from an earlier attempt.
        :raises EngineRefusal: before the first event, if the request did not run.
        """
        stream = self._enqueue(prompt_tokens, output_tokens, helpers, first_event)
        try:
            while True:
                number = await stream.events.get()
                if number is None:
                    return
                yield number
        finally:
            self._remove(stream)
            for (helper, _), part in zip(helpers, stream.helper_parts):
                helper.remove_helper_part(part)

    def _enqueue(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]],
        first_event: int,
    ) -> _Stream:
        if self.is_leaving:
            self._refuse("leaving")
        remote_tokens = 0
        for helper, reservation_id in helpers:
            remote_tokens += self._check_helper(helper, reservation_id)
        local_tokens = max(0, prompt_tokens - remote_tokens)
        if local_tokens + output_tokens > self.profile.kv_tokens:
            self._refuse("full")
        part_s = self.profile.prefill_s(prompt_tokens) / (1 + len(helpers))
        part_tokens = prompt_tokens // (1 + len(helpers))
        parts = [_PrefillPart(part_tokens, part_s) for _ in helpers]
        own = _PrefillPart(part_tokens, part_s)
        stream = _Stream(prompt_tokens, output_tokens, local_tokens, own, parts, now())
        stream.next_token = first_event * self.profile.steps_per_pass
        for (helper, _), part in zip(helpers, parts):
            helper.add_helper_part(part)
        self._waiting.append(stream)
        self._wake()
        return stream

    def add_helper_part(self, part: _PrefillPart) -> None:
        """Adds a part of another engine's prompt; it goes before own prompts."""
        self._helper_parts.append(part)
        self._wake()

    def remove_helper_part(self, part: _PrefillPart) -> None:
        """Stops the prefill of a part, if it is not done, as its request has ended."""
        if part in self._helper_parts:
            self._helper_parts.remove(part)

    def _check_helper(self, helper: Engine, reservation_id: str | None) -> int:
        """Returns the KV-cache tokens that are reserved at a helper.

        :raises EngineRefusal: if the helper takes no part or has no such reservation.
        """
        if helper.is_leaving or len(helper._helper_parts) >= self.profile.slots:
            self._refuse("helper", helper)
        if reservation_id is None:
            return 0
        helper._drop_expired_reservations()
        reservation = helper._reservation_by_id.get(reservation_id)
        if reservation is None:
            self._refuse("no_ticket", helper)
        return reservation.tokens

    def _refuse(self, reason: str, faulty_engine: Engine | None = None) -> None:
        self.refused += 1
        raise EngineRefusal(reason, faulty_engine)

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run_passes())

    async def _run_passes(self) -> None:
        while self._streams or self._waiting or self._helper_parts:
            if self.fault:
                await asyncio.sleep(0.1)
                continue
            self._admit_waiting()
            duration_s = self._prefill_in_pass() * self.slowness
            self.longest_pass_s = max(self.longest_pass_s, duration_s)
            await asyncio.sleep(duration_s)
            self._finish_pass()

    def _admit_waiting(self) -> None:
        """Admits streams in order of arrival while slots and KV cache are free.

        An engine without streams admits one even if reservations hold the KV cache.
        """
        while self._waiting and len(self._streams) < self.profile.slots:
            stream = self._waiting[0]
            if self._streams and not self._fits(stream):
                return
            self._streams.append(self._waiting.pop(0))
            self.runs += 1

    def _fits(self, stream: _Stream) -> bool:
        return self.used_tokens + stream.local_prompt_tokens <= self.profile.kv_tokens

    def _prefill_in_pass(self) -> float:
        """Prefills what one pass allows and returns the seconds of the pass.

        Parts for other engines go before own prompts, the newest of them first.
        """
        decoding = [item for item in self._streams if item.is_decoding]
        context = sum(item.prompt_tokens + _decoded_tokens(item) for item in decoding)
        steps = self.profile.steps_per_pass if decoding else 1
        budget = steps * self.profile.chunk_tokens
        prefill_s = 0.0
        own = [item.own_part for item in self._streams if not item.is_decoding]
        for part in [*reversed(self._helper_parts), *own]:
            if budget <= 0 or part.left_s <= 0:
                continue
            rate = part.tokens / part.left_s if part.tokens else 0.0
            tokens = min(part.tokens, budget)
            spent_s = tokens / rate if rate else part.left_s
            part.tokens -= tokens
            part.left_s = max(0.0, part.left_s - spent_s)
            budget -= tokens
            prefill_s += spent_s
        return self.profile.pass_s(len(decoding), context) + prefill_s

    def _finish_pass(self) -> None:
        for part in [item for item in self._helper_parts if item.left_s <= 0]:
            part.done.set()
            self._helper_parts.remove(part)
        for stream in list(self._streams):
            if stream.is_decoding:
                self._emit_event(stream)
            elif stream.own_part.left_s <= 0 and _all_done(stream.helper_parts):
                stream.is_decoding = True
                self._emit_event(stream)
        self._preempt()

    def _emit_event(self, stream: _Stream) -> None:
        steps = self.profile.steps_per_pass
        stream.events.put_nowait(stream.next_token // steps)
        stream.next_token += steps
        if stream.next_token >= stream.output_tokens:
            stream.events.put_nowait(None)
            self._remove(stream)

    def _preempt(self) -> None:
        """Puts the newest streams back into the queue while the KV cache is overfull.

        A preempted stream prefills its whole prompt again on this engine alone.
        """
        while len(self._streams) > 1 and self.used_tokens > self.profile.kv_tokens:
            newest = max(self._streams, key=lambda item: item.arrived)
            self._streams.remove(newest)
            newest.is_decoding = False
            newest.own_part = _PrefillPart(
                newest.prompt_tokens, self.profile.prefill_s(newest.prompt_tokens)
            )
            self._waiting.insert(0, newest)
            self.preempted += 1

    def _remove(self, stream: _Stream) -> None:
        if stream in self._streams:
            self._streams.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    def _drop_expired_reservations(self) -> None:
        now_s = now()
        expired_ids = [
            key
            for key, item in self._reservation_by_id.items()
            if item.expires <= now_s
        ]
        for key in expired_ids:
            del self._reservation_by_id[key]


def _decoded_tokens(stream: _Stream) -> int:
    return min(stream.next_token, stream.output_tokens)


def _all_done(parts: Sequence[_PrefillPart]) -> bool:
    return all(part.done.is_set() for part in parts)
