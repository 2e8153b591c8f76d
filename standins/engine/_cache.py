"""The prefix cache of an engine."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from typing import Iterable, Sequence

import attrs

from cicadacourse.util.clock import now
from cicadacourse.util.hashing import PREFIX_BLOCK_BYTES
from cicadacourse.util.tokens import BYTES_PER_TOKEN
from standins.engine._messages import EVENT_EVICTED, EVENT_STORED, CacheEvent

BLOCK_TOKENS = PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
EVENTS_KEPT = 20_000


@attrs.frozen
class _TimedEvent:
    time: float
    event: CacheEvent


class PrefixCache:
    """Blocks of prompt prefixes, least recently used first out.

    :param rng: chooses the events that are lost.
    :param loss_probability: share of events that are never published.
    """

    def __init__(self, rng: random.Random, loss_probability: float = 0.02) -> None:
        self._rng = rng
        self._loss_probability = loss_probability
        self._pins_by_block: OrderedDict[int, int] = OrderedDict()
        self._unpinned = 0
        self._sequence = 0
        self._events: deque[_TimedEvent] = deque(maxlen=EVENTS_KEPT)

    @property
    def unpinned_tokens(self) -> int:
        """Memory of the blocks that no session holds, in tokens."""
        return self._unpinned * BLOCK_TOKENS

    def matched_blocks(self, blocks: Iterable[int]) -> int:
        """Returns how many leading blocks are cached."""
        matched = 0
        for block in blocks:
            if block not in self._pins_by_block:
                break
            matched += 1
        return matched

    def pin(self, blocks: Sequence[int]) -> None:
        """Stores blocks, if new, and holds them for a session.

        The last block of a prefix becomes the first to be evicted.
        """
        for block in reversed(blocks):
            pins = self._pins_by_block.get(block)
            if pins is None:
                self._publish(EVENT_STORED, block)
            elif pins == 0:
                self._unpinned -= 1
            self._pins_by_block[block] = (pins or 0) + 1
            self._pins_by_block.move_to_end(block)

    def unpin(self, blocks: Iterable[int]) -> None:
        """Lets go of blocks that a session held."""
        for block in blocks:
            if block not in self._pins_by_block:
                continue
            self._pins_by_block[block] -= 1
            if self._pins_by_block[block] == 0:
                self._unpinned += 1

    def shrink(self, tokens: int) -> None:
        """Evicts unpinned blocks until they hold at most that many tokens."""
        if self.unpinned_tokens <= tokens:
            return
        for block, pins in list(self._pins_by_block.items()):
            if pins:
                continue
            del self._pins_by_block[block]
            self._unpinned -= 1
            self._publish(EVENT_EVICTED, block)
            if self.unpinned_tokens <= tokens:
                return

    def clear(self) -> None:
        """Evicts every block, held or not."""
        for block in self._pins_by_block:
            self._publish(EVENT_EVICTED, block)
        self._pins_by_block.clear()
        self._unpinned = 0

    def events(self, after: int, lag_s: float) -> tuple[CacheEvent, ...]:
        """Returns the published events behind a sequence number."""
        latest = now() - lag_s
        found = []
        for timed in reversed(self._events):
            if timed.event.sequence <= after:
                break
            if timed.time <= latest:
                found.append(timed.event)
        return tuple(reversed(found))

    def _publish(self, kind: str, block: int) -> None:
        self._sequence += 1
        if self._rng.random() < self._loss_probability:
            return
        event = CacheEvent(sequence=self._sequence, kind=kind, block=block)
        self._events.append(_TimedEvent(now(), event))
