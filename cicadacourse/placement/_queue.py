"""The order in which queued requests are placed.

It is made for a burst of long prompts that exceeds what the fleet can prefill in time,
and for one organisation that sends most of the queued requests. In order of arrival,
one huge prompt makes many other requests late, and so does one such organisation.
Requests of both kinds are delayed in the queue. The delays are bounded, so that no
request starves.
"""

from __future__ import annotations

import asyncio
import bisect
import heapq
import itertools
from collections import Counter, defaultdict
from typing import Iterator, TypeAlias

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


# The waiters of one pool that are either all long prompts or all others.
_QueueKey: TypeAlias = tuple[str, bool]


class WaitQueue:
    """Requests that wait for a placement, with separate queues for short and long ones.

    Each pool has queues of its own. No call looks at all waiters, of which a burst
    leaves thousands, but for those that return or count all of them.
    """

    def __init__(self) -> None:
        self._waiters_by_key: dict[_QueueKey, list[Waiter]] = defaultdict(list)
        self._count_by_organisation: Counter[tuple[_QueueKey, str]] = Counter()
        self._numbers = itertools.count()

    def make_waiter(
        self, request: PlacementRequest, profile: EngineProfile | None, now_s: float
    ) -> Waiter:
        """Returns a waiter that is not yet in the queue."""
        prefill_s = profile.prefill_s(request.prompt_tokens) if profile else 0.0
        is_split = profile is not None and is_long(request, profile)
        key = (request.pool, is_split)
        queued = self._count_by_organisation[key, request.organisation]
        due = now_s + request.wait_s
        due += min(MAX_LENGTH_DELAY_S, LENGTH_DELAY_SHARE * prefill_s)
        due += min(MAX_ORGANISATION_DELAY_S, ORGANISATION_DELAY_STEP_S * queued)
        rank = Rank(request.priority, due, next(self._numbers))
        return Waiter(request, rank, is_split, now_s)

    def is_next(self, waiter: Waiter) -> bool:
        """Returns whether no request in the same queue precedes a waiter."""
        waiters = self._waiters_by_key.get(_key_of(waiter))
        return not waiters or not waiters[0].rank < waiter.rank

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter to its queue."""
        key = _key_of(waiter)
        bisect.insort(self._waiters_by_key[key], waiter, key=_rank_of)
        self._count_by_organisation[key, waiter.request.organisation] += 1

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that is placed, has timed out or is cancelled."""
        key = _key_of(waiter)
        waiters = self._waiters_by_key[key]
        # Ranks are unique, as they hold the number in order of arrival.
        del waiters[bisect.bisect_left(waiters, waiter.rank, key=_rank_of)]
        if not waiters:
            del self._waiters_by_key[key]
        counted = (key, waiter.request.organisation)
        self._count_by_organisation[counted] -= 1
        if not self._count_by_organisation[counted]:
            del self._count_by_organisation[counted]

    def count(self, pool: str) -> int:
        """Returns the number of requests that wait for a pool."""
        keys = ((pool, False), (pool, True))
        return sum(len(self._waiters_by_key.get(key, ())) for key in keys)

    def has_long(self) -> bool:
        """Returns whether a long prompt waits."""
        return any(is_split for _, is_split in self._waiters_by_key)

    def waiting(self, is_split: bool) -> Iterator[Waiter]:
        """Returns an iterator over the long or the short waiters by rank.

        Those that have a placement are left out.
        """
        queues = [
            waiters
            for (_, is_split_queue), waiters in self._waiters_by_key.items()
            if is_split_queue == is_split
        ]
        merged = heapq.merge(*queues, key=_rank_of)
        return (item for item in merged if not item.placement.done())

    def __iter__(self) -> Iterator[Waiter]:
        """Returns an iterator over all waiters without a placement."""
        return itertools.chain(self.waiting(False), self.waiting(True))

    def __len__(self) -> int:
        return sum(map(len, self._waiters_by_key.values()))


def _key_of(waiter: Waiter) -> _QueueKey:
    return (waiter.request.pool, waiter.is_long)


def _rank_of(waiter: Waiter) -> Rank:
    return waiter.rank
