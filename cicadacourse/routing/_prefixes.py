"""Which prompt prefixes an engine has probably cached."""

from __future__ import annotations

from typing import Sequence

from cachetools import LRUCache

from cicadacourse.util.hashing import PREFIX_BLOCK_BYTES
from cicadacourse.util.tokens import BYTES_PER_TOKEN

BLOCK_TOKENS = PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN


class PrefixMemory:
    """The prefix blocks that were granted to an engine lately.

    A hint only: an engine may have evicted a block, which costs time, not safety.

    :param capacity_tokens: how many tokens of prefixes are remembered.
    """

    def __init__(self, capacity_tokens: int) -> None:
        blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self._seen: LRUCache[int, bool] = LRUCache(blocks)

    def cached_tokens(self, prefix: Sequence[int]) -> int:
        """Returns how many leading tokens of a prompt are probably cached."""
        blocks = 0
        for block in prefix:
            if block not in self._seen:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def add(self, prefix: Sequence[int]) -> None:
        """Remembers the blocks of a prompt that was granted."""
        for block in reversed(prefix):
            self._seen[block] = True

    def clear(self) -> None:
        """Forgets everything, for an engine that started anew."""
        self._seen.clear()
