"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import functools
from typing import Iterable

import xxhash

# Bounds the memory, about 200 bytes each. A choice looks at the scores of all members
# or endpoints again.
MAX_KNOWN_SCORES = 8192


@functools.lru_cache(maxsize=MAX_KNOWN_SCORES)
def score(key: str, name: str) -> int:
    """Returns the 64-bit rendezvous score of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in descending order of their rendezvous score for a key.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
