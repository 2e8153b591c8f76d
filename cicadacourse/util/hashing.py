"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

from typing import Iterable

import xxhash


def score(key: str, name: str) -> int:
    """Returns the 64-bit rendezvous score of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in descending order of their rendezvous score for a key.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
