"""Bounds the work on a message by the parts that it comes in.

Reading a part, such as a chunk of a body or an event of a stream, costs the same
however small it is. A faulty sender may send small ones without end, and faster than
they can be read.
"""

from __future__ import annotations

import attrs

# So many parts may come at once, for example after a pause of this process.
MAX_PARTS = 1000
# Streams of language models have some tens of events a second.
PARTS_PER_S = 500.0


class TooManyParts(ValueError):
    """A message came in more parts than are read."""


@attrs.define
class PartBudget:
    """The parts that may still come of one message; grows with time.

    >>> budget = PartBudget()
    >>> budget.spend(MAX_PARTS, now_s=0.0)
    >>> budget.spend(1, now_s=0.1)
    >>> budget.spend(50, now_s=0.1)
    Traceback (most recent call last):
    ...
    cicadacourse.util.part_budget.TooManyParts: more than 1000 parts at once
    """

    _left: float = MAX_PARTS
    _as_of: float = 0.0

    def spend(self, parts: float, now_s: float) -> None:
        """Records parts that have come.

        :param parts: how many; negative for large ones, which make up for small ones.
        :param now_s: the present, in seconds.
        :raises TooManyParts: if they are more than may come.
        """
        earned = (now_s - self._as_of) * PARTS_PER_S
        self._as_of = now_s
        self._left = min(MAX_PARTS, min(MAX_PARTS, self._left + earned) - parts)
        if self._left < 0:
            raise TooManyParts(f"more than {MAX_PARTS} parts at once")
