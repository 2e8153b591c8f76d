"""The slots of a stand-in engine: its queue, admission and preemption."""

from __future__ import annotations

from cicadacourse.catalog import EngineProfile
from standins.platform._reservations import Reservations
from standins.platform._streams import PrefillPart, Stream


class Slots:
    """The streams that an engine runs, and those that wait for a slot.

    :param reservations: the KV cache that streams can't use.
    :ivar streams: the streams that run.
    :ivar admitted: how often a stream got a slot, again after a preemption.
    :ivar preempted: the number of preemptions.
    """

    def __init__(self, profile: EngineProfile, reservations: Reservations) -> None:
        self.streams: list[Stream] = []
        self.admitted = 0
        self.preempted = 0
        self._profile = profile
        self._reservations = reservations
        self._waiting: list[Stream] = []

    def __len__(self) -> int:
        """Returns the number of streams that run or wait."""
        return len(self.streams) + len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """The KV-cache tokens that streams and reservations hold."""
        held = sum(item.held_tokens for item in self.streams)
        return held + self._reservations.tokens

    def put(self, stream: Stream) -> None:
        """Queues a stream."""
        self._waiting.append(stream)

    def remove(self, stream: Stream) -> None:
        """Removes a stream that runs or waits, if it has not ended."""
        if stream in self.streams:
            self.streams.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    def admit_waiting(self) -> None:
        """Admits streams in order of arrival while slots and KV cache are free.

        An engine without streams admits one even if reservations hold the KV cache.
        """
        while self._waiting and len(self.streams) < self._profile.slots:
            stream = self._waiting[0]
            if self.streams and not self._fits(stream):
                return
            self.streams.append(self._waiting.pop(0))
            self.admitted += 1

    def preempt(self) -> None:
        """Puts the newest streams back into the queue while the KV cache is overfull.

        A preempted stream prefills its whole prompt again on this engine alone.
        """
        while len(self.streams) > 1 and self.used_tokens > self._profile.kv_tokens:
            newest = max(self.streams, key=lambda item: item.arrived)
            self.streams.remove(newest)
            newest.is_decoding = False
            newest.own_part = PrefillPart(
                newest.prompt_tokens, self._profile.prefill_s(newest.prompt_tokens)
            )
            self._waiting.insert(0, newest)
            self.preempted += 1

    def _fits(self, stream: Stream) -> bool:
        return self.used_tokens + stream.local_prompt_tokens <= self._profile.kv_tokens
