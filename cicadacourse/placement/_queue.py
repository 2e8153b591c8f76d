"""The order in which queued requests are placed.

It is made for a burst of long prompts that exceeds what the fleet can prefill in time,
and for one organisation that sends most of the queued requests. In order of arrival,
one huge prompt makes many other requests late, and so does one such organisation.
Requests of both kinds are delayed in the queue. The delays are bounded, so that no
request starves.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Iterator

import attrs

from cicadacourse.catalog import EngineProfile
from cicadacourse.placement._engines import is_long
from cicadacourse.placement._model import Placement, PlacementRequest

# Seconds by which a prompt is due later for each second of its prefill on one engine.
LENGTH_DELAY_SHARE = 1.0
# Bounds the queue delay by prompt length, so that long prompts don't starve.
MAX_LENGTH_DELAY_S = 5.0
# Seconds by which a request is due later for each queued request of its organisation.
ORGANISATION_DELAY_STEP_S = 0.05
# Bounds the queue delay by organisation, so that no organisation starves.
MAX_ORGANISATION_DELAY_S = 2.0


@attrs.frozen(order=True)
class Rank:
    """The position of a request in its queue; the lowest rank is placed first.

    :param priority: 0 is the most urgent.
    :param due: the end of the request's time in the queue plus its queue delays, loop
        time in seconds.
    :param number: the number in order of arrival, which breaks ties.
    """

    priority: int
    due: float
    number: int


@attrs.frozen
class HeldPermit:
    """A permit to send one request to an endpoint that names a limit.

    :param valid_until: loop time in seconds.
    """

    endpoint_id: str
    valid_until: float

    def is_valid(self, endpoint_id: str, now_s: float) -> bool:
        """Returns whether it allows a request to an endpoint now."""
        return self.endpoint_id == endpoint_id and now_s <= self.valid_until


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a placement.

    :param request: the request as of its arrival.
    :param is_long: whether it is a prompt whose prefill may be split.
    :param since: when it arrived, loop time in seconds.
    :ivar was_queued: whether it has been in the queue.
    :ivar permit: a permit that was reserved for the request, or None.
    :ivar placement: a future that is set on placement, or to None if the request's pool
        has to be looked at again; replaced by a new one each time that the request is
        queued.
    """

    request: PlacementRequest
    rank: Rank
    is_long: bool
    since: float
    was_queued: bool = False
    permit: HeldPermit | None = None
    placement: asyncio.Future[Placement | None] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def request_at(self, at_s: float) -> PlacementRequest:
        """Returns the request with the times that remain at a moment."""
        return self.request.after(at_s - self.since)


class WaitQueue:
    """Requests that wait for a placement, with separate queues for short and long ones.

    Each pool has queues of its own.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def make_waiter(
        self, request: PlacementRequest, profile: EngineProfile | None, now_s: float
    ) -> Waiter:
        """Returns a waiter that is not yet in the queue."""
        prefill_s = profile.prefill_s(request.prompt_tokens) if profile else 0.0
        is_split = profile is not None and is_long(request, profile)
        queued = self._count_queued(request, is_split)
        due = now_s + request.wait_s
        due += min(MAX_LENGTH_DELAY_S, LENGTH_DELAY_SHARE * prefill_s)
        due += min(MAX_ORGANISATION_DELAY_S, ORGANISATION_DELAY_STEP_S * queued)
        rank = Rank(request.priority, due, next(self._numbers))
        return Waiter(request, rank, is_split, now_s)

    def _count_queued(self, request: PlacementRequest, is_split: bool) -> int:
        """Returns how many requests of the same organisation are in the same queue."""
        return sum(
            item.request.organisation == request.organisation
            and item.request.pool == request.pool
            and item.is_long == is_split
            for item in self._waiters
        )

    def is_next(self, waiter: Waiter) -> bool:
        """Returns whether no request in the same queue precedes a waiter."""
        return not any(
            item.request.pool == waiter.request.pool
            and item.is_long == waiter.is_long
            and item.rank < waiter.rank
            for item in self._waiters
        )

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter to its queue."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda item: item.rank)

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that is placed, has timed out or is cancelled."""
        self._waiters.remove(waiter)

    def count(self, pool: str) -> int:
        """Returns the number of requests that wait for a pool."""
        return sum(item.request.pool == pool for item in self._waiters)

    def has_long(self) -> bool:
        """Returns whether a long prompt waits."""
        return any(item.is_long for item in self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Returns an iterator over the waiters without a placement, by rank."""
        return iter([item for item in self._waiters if not item.placement.done()])

    def __len__(self) -> int:
        return len(self._waiters)
