"""The order in which requests wait for a place.

Loads answered: a burst of long prompts larger than the fleet can read in time, and one
organisation that sends most of what waits. Served in order of arrival, one huge prompt
makes many others late, and so does one organisation; both let others go first. How far
is bounded, so that they are served at last.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Iterator

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._engines import is_long
from cicadacourse.placement._model import Placement, PlacementRequest

# How much later a prompt is due for each second that an engine needs to read it.
YIELD_SHARE = 1.0
# A prompt lets later ones go first for no longer than this.
MAX_LENGTH_DELAY_S = 5.0
# How much later a request is due for each of its organisation's that already wait.
CROWD_STEP_S = 0.05
# A request lets other organisations' later ones go first for no longer than this.
MAX_ORGANISATION_DELAY_S = 2.0


@attrs.frozen(order=True)
class Rank:
    """Where a request stands in its queue; the lowest is served first.

    :param priority: 0 is the most urgent.
    :param due: when it should be placed, loop time in seconds.
    :param number: by arrival.
    """

    priority: int
    due: float
    number: int


@attrs.define(eq=False)
class Waiter:
    """A request that waits.

    :param request: what it asks, as of its arrival.
    :param is_long: whether it is a prompt that engines read in parts.
    :param since: when it arrived, loop time in seconds.
    :ivar placement: set once there is one; made anew each time that it waits.
    """

    request: PlacementRequest
    rank: Rank
    is_long: bool
    since: float
    placement: asyncio.Future[Placement] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def request_at(self, at: float) -> PlacementRequest:
        """Returns what it asks at a time."""
        return self.request.after(at - self.since)


class WaitQueue:
    """Requests that wait, short and long ones in lines of their own."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def make_waiter(
        self, need: PlacementRequest, profile: EngineProfile | None, now_s: float
    ) -> Waiter:
        """Returns a waiter that is not yet in the queue."""
        read_s = profile.prefill_s(need.prompt_tokens) if profile else 0.0
        has_parts = profile is not None and is_long(need, profile)
        crowd = self._count_crowd(need, has_parts)
        due = now_s + need.wait_s
        due += min(MAX_LENGTH_DELAY_S, YIELD_SHARE * read_s)
        due += min(MAX_ORGANISATION_DELAY_S, CROWD_STEP_S * crowd)
        rank = Rank(need.priority, due, next(self._numbers))
        return Waiter(need, rank, has_parts, now_s)

    def _count_crowd(self, need: PlacementRequest, has_parts: bool) -> int:
        """Returns how many of an organisation's requests already stand in a line."""
        return sum(
            item.request.organisation == need.organisation
            and item.request.pool == need.pool
            and item.is_long == has_parts
            for item in self._waiters
        )

    def is_next(self, waiter: Waiter) -> bool:
        """Returns whether nobody in the same line goes before a waiter."""
        return not any(
            item.request.pool == waiter.request.pool
            and item.is_long == waiter.is_long
            and item.rank < waiter.rank
            for item in self._waiters
        )

    def add(self, waiter: Waiter) -> None:
        """Lets a request wait."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda item: item.rank)

    def remove(self, waiter: Waiter) -> None:
        """Takes a request out that is placed or gives up."""
        self._waiters.remove(waiter)

    def count(self, pool: str) -> int:
        """Returns how many wait for a pool."""
        return sum(item.request.pool == pool for item in self._waiters)

    def has_long(self) -> bool:
        """Returns whether a long prompt waits."""
        return any(item.is_long for item in self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Yields those that have no place yet, the first in line first."""
        return iter([item for item in self._waiters if not item.placement.done()])

    def __len__(self) -> int:
        return len(self._waiters)
