"""A stand-in for an engine that takes the time of an :class:`EngineProfile`.

Each pass decodes some steps of every decoding stream and prefills chunks of prompts.
Helpers prefill parts of a prompt for another engine, reservations hold KV cache, and
the newest streams are preempted when the KV cache overflows. All times are those of the
event loop's clock, so a test with a simulated clock need not wait for them.
"""

from __future__ import annotations

import asyncio
from typing import AsyncIterator, NoReturn, Sequence

from cicadacourse.catalog import EngineProfile
from cicadacourse.util.clock import now
from standins.platform._passes import prefill_in_pass
from standins.platform._reservations import Reservations
from standins.platform._slots import Slots
from standins.platform._streams import PrefillPart, Stream


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


class Engine:
    """One engine.

    :param profile: its speed and capacity.
    :param name: its address, by which a refusal names it.
    :ivar fault: ``dead`` (no request makes progress), or empty.
    :ivar is_leaving: whether new requests, and parts as a helper, are refused.
    :ivar slowness: the factor by which each pass takes longer than the profile says.
    :ivar refused: the number of refused requests.
    :ivar longest_pass_s: the longest pass since the start, in seconds.
    """

    def __init__(self, profile: EngineProfile, name: str = "engine") -> None:
        self.profile = profile
        self.name = name
        self.fault = ""
        self.slowness = 1.0
        self.is_leaving = False
        self.refused = 0
        self.longest_pass_s = 0.0
        self._reservations = Reservations()
        self._slots = Slots(profile, self._reservations)
        self._helper_parts: list[PrefillPart] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def runs(self) -> int:
        """How often a request was admitted to a slot, again after a preemption."""
        return self._slots.admitted

    @property
    def preempted(self) -> int:
        """The number of preemptions."""
        return self._slots.preempted

    @property
    def reserved_tokens(self) -> int:
        """The KV-cache tokens that reservations hold, whether used or not."""
        return self._reservations.tokens

    @property
    def reservation_ids(self) -> frozenset[str]:
        """The ids of the reservations that have not expired."""
        return self._reservations.ids

    @property
    def used_tokens(self) -> int:
        """The KV-cache tokens that streams and reservations hold."""
        return self._slots.used_tokens

    @property
    def in_progress(self) -> int:
        """The number of streams that run or wait."""
        return len(self._slots)

    def reserve(self, reservation_id: str, tokens: int, hold_s: float) -> bool:
        """Reserves KV cache or renews a reservation.

        :param hold_s: the seconds from now after which the reservation expires.
        :returns: whether the KV cache is reserved; False if too little is free.
        """
        if self._reservations.renew(reservation_id, hold_s):
            return True
        if self.used_tokens + tokens > self.profile.kv_tokens:
            return False
        self._reservations.put(reservation_id, tokens, hold_s)
        return True

    def release(self, reservation_id: str) -> None:
        """Frees the KV cache of a reservation, if there is one of this id."""
        self._reservations.release(reservation_id)

    def add_helper_part(self, part: PrefillPart) -> None:
        """Adds a part of another engine's prompt; it goes before own prompts."""
        self._helper_parts.append(part)
        self._wake()

    def remove_helper_part(self, part: PrefillPart) -> None:
        """Stops the prefill of a part, if it is not done, as its request has ended."""
        if part in self._helper_parts:
            self._helper_parts.remove(part)

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
            self._slots.remove(stream)
            for (helper, _), part in zip(helpers, stream.helper_parts):
                helper.remove_helper_part(part)

    def _enqueue(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]],
        first_event: int,
    ) -> Stream:
        stream = self._make_stream(prompt_tokens, output_tokens, helpers)
        stream.next_token = first_event * self.profile.steps_per_pass
        for (helper, _), part in zip(helpers, stream.helper_parts):
            helper.add_helper_part(part)
        self._slots.put(stream)
        self._wake()
        return stream

    def _make_stream(
        self,
        prompt_tokens: int,
        output_tokens: int,
        helpers: Sequence[tuple[Engine, str | None]],
    ) -> Stream:
        """Returns a stream whose prompt the engine and its helpers share equally.

        :raises EngineRefusal: if this engine or a helper can't run it.
        """
        if self.is_leaving:
            self._refuse("leaving")
        remote_tokens = sum(self._check_helper(*helper) for helper in helpers)
        local_tokens = max(0, prompt_tokens - remote_tokens)
        if local_tokens + output_tokens > self.profile.kv_tokens:
            self._refuse("full")
        part_s = self.profile.prefill_s(prompt_tokens) / (1 + len(helpers))
        part_tokens = prompt_tokens // (1 + len(helpers))
        own, *parts = [PrefillPart(part_tokens, part_s) for _ in (self, *helpers)]
        return Stream(prompt_tokens, output_tokens, local_tokens, own, parts, now())

    def _check_helper(self, helper: Engine, reservation_id: str | None) -> int:
        """Returns the KV-cache tokens that are reserved at a helper.

        :raises EngineRefusal: if the helper takes no part or has no such reservation.
        """
        if helper.is_leaving or len(helper._helper_parts) >= self.profile.slots:
            self._refuse("helper", helper)
        if reservation_id is None:
            return 0
        reserved_tokens = helper._reservations.find_tokens(reservation_id)
        if reserved_tokens is None:
            self._refuse("no_ticket", helper)
        return reserved_tokens

    def _refuse(self, reason: str, faulty_engine: Engine | None = None) -> NoReturn:
        self.refused += 1
        raise EngineRefusal(reason, faulty_engine)

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run_passes())

    async def _run_passes(self) -> None:
        while len(self._slots) or self._helper_parts:
            if self.fault:
                await asyncio.sleep(0.1)
                continue
            self._slots.admit_waiting()
            pass_s = prefill_in_pass(
                self.profile, self._slots.streams, self._helper_parts
            )
            duration_s = pass_s * self.slowness
            self.longest_pass_s = max(self.longest_pass_s, duration_s)
            await asyncio.sleep(duration_s)
            self._finish_pass()

    def _finish_pass(self) -> None:
        for part in [item for item in self._helper_parts if item.left_s <= 0]:
            part.done.set()
            self._helper_parts.remove(part)
        for stream in list(self._slots.streams):
            if stream.is_decoding or stream.is_prefilled:
                stream.decode(self.profile.steps_per_pass)
                if stream.is_ended:
                    self._slots.remove(stream)
        self._slots.preempt()
