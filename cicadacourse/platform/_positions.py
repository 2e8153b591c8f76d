"""Positions in the store's topics, which grow also when its offsets go back.

When the store comes back from a copy, it gives out offsets again that were read before,
and counts one more era. A position holds both, so that one of a later era is always
greater.
"""

from __future__ import annotations

# Offsets need fewer bits for years; the rest of a 64-bit field is left for the era.
OFFSET_BITS = 44


def make_position(era: int, offset: int) -> int:
    """Returns the position of an offset in an era.

    >>> make_position(2, 7) > make_position(1, 1000)
    True
    """
    return (era << OFFSET_BITS) | offset


def era_of(position: int) -> int:
    """Returns the era of a position, 0 for stores that don't count eras."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset of a position."""
    return position & ((1 << OFFSET_BITS) - 1)


def is_later_era(position: int, known_position: int) -> bool:
    """Returns whether a position is of a later era than a known one.

    >>> is_later_era(make_position(2, 0), make_position(1, 9))
    True
    """
    return era_of(position) > era_of(known_position)
