"""Rendezvous hashing and hashes of prompt prefixes."""

from __future__ import annotations

from typing import Iterable

import xxhash

PREFIX_BLOCK_BYTES = 4096


def score(key: str, name: str) -> int:
    """Returns the rendezvous score of a name for a key, 64 bits."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names ordered by rendezvous score for a key, best first.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the name that owns a key, or None if there are no names."""
    best = max(names, key=lambda name: (score(key, name), name), default=None)
    return best


def prefix_hashes(prompt: bytes, limit: int) -> list[int]:
    """Returns the chained hashes of a prompt's first whole blocks.

    :param prompt: the prompt in UTF-8.
    :param limit: how many blocks at the most.
    """
    hashes = []
    state = xxhash.xxh3_64()
    whole_blocks = min(limit, len(prompt) // PREFIX_BLOCK_BYTES)
    for index in range(whole_blocks):
        start = index * PREFIX_BLOCK_BYTES
        state.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(state.intdigest())
    return hashes
