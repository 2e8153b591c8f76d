"""The parts of the memory account, so that one kind of load leaves room for others."""

from __future__ import annotations

import asyncio
import collections

import attrs

from cicadacourse.resources._holding import HeldKind, Holding

# Bodies and answers of at most this size do not wait for larger ones.
SMALL_BYTES = 65_536


@attrs.define(eq=False)
class Waiter:
    """Someone who waits for room.

    :ivar size: what it holds once it has room, in bytes.
    :ivar granted: done once that is charged.
    """

    holding: Holding
    size: int
    granted: asyncio.Future[None]


@attrs.define(eq=False)
class Lane:
    """One part of the account, and those who wait for room in it, in their order.

    :param limit: its size in bytes.
    :ivar held: the bytes that are charged to it.
    """

    limit: float
    held: int = 0
    waiters: collections.deque[Waiter] = attrs.field(factory=collections.deque)

    def fits(self, holding: Holding, size: int) -> bool:
        """Returns whether a holding may have a size now.

        A single one may be larger than its lane, so that it is served in calm.
        """
        held = self.held - (holding.size if holding.lane is self else 0)
        return held + size <= self.limit or held == 0

    @property
    def needed(self) -> int:
        """The bytes that those who wait lack."""
        wanted = sum(item.size for item in self.waiters)
        return wanted - max(0, int(self.limit) - self.held) if wanted else 0


class Lanes:
    """All lanes of an account.

    :param limit: of all lanes together, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.small_bodies = Lane(0.1 * limit)
        self.large_bodies = Lane(0.3 * limit)
        self.small_answers = Lane(0.1 * limit)
        self.large_answers = Lane(0.2 * limit)
        self.heads = Lane(0.1 * limit)
        self.copies = Lane(0.1 * limit)
        self.others = Lane(0.1 * limit)
        self.all = (
            self.small_bodies,
            self.large_bodies,
            self.small_answers,
            self.large_answers,
            self.heads,
            self.copies,
            self.others,
        )

    def find(self, kind: HeldKind, size: int) -> Lane:
        """Returns the lane of a holding."""
        is_small = size <= SMALL_BYTES
        match kind:
            case HeldKind.BODY | HeldKind.CARRIED:
                return self.small_bodies if is_small else self.large_bodies
            case HeldKind.ANSWER:
                return self.small_answers if is_small else self.large_answers
            case HeldKind.HEAD:
                return self.heads
            case HeldKind.COPY:
                return self.copies
        return self.others
