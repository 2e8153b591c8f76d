"""The account of all memory that is held for callers, against a share of the machine's.

The expected load is some hundred requests at once, of a few kilobytes each. The account
is for clients that send without end, hold back the rest, or leave answers unread, and
for bursts of bodies of the largest allowed size.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import Callable, Iterator

from cicadacourse.logs import CALLERS_SHED, log
from cicadacourse.metrics import Metrics, declare
from cicadacourse.resources._holding import HeldKind, Holding
from cicadacourse.resources._lanes import Lane, Lanes, Waiter
from cicadacourse.util.clock import now, time_to_tick

HELD = declare("held_bytes", "Memory held for callers, by what it is held for.")
HELD_LIMIT = declare("held_bytes_limit", "Limit of the memory held for callers.")
WAITS = declare(
    "held_waits_total", "Waits for room in the memory held for callers, by outcome."
)
SHED = declare(
    "callers_shed_total",
    "Callers given up that made no progress while others waited for room, by what was"
    " held for them.",
)

SHED_PERIOD_S = 0.25
# A later turn than this follows a pause of the process, in which no caller was read.
MAX_TURN_S = 4 * SHED_PERIOD_S


class NoRoom(Exception):
    """The account had no room in time."""


class MemoryAccount:
    """Sums what is held for callers and makes those wait who want more than there is.

    :param limit: of all that is held, in bytes.
    :ivar held: the bytes that are held now.
    """

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self.limit = limit
        self.held = 0
        self._metrics = metrics
        self._holdings: set[Holding] = set()
        self._held_by_kind: collections.Counter[HeldKind] = collections.Counter()
        self._lanes = Lanes(limit)

    def open(self, kind: HeldKind, shed: Callable[[], None] | None = None) -> Holding:
        """Returns a new part of the account, which its owner closes."""
        holding = Holding(self, kind, shed)
        self._holdings.add(holding)
        return holding

    @contextlib.contextmanager
    def holding(
        self, kind: HeldKind, shed: Callable[[], None] | None = None
    ) -> Iterator[Holding]:
        """Yields a new part of the account and closes it."""
        holding = self.open(kind, shed)
        try:
            yield holding
        finally:
            holding.close()

    def counts_by_kind(self) -> dict[HeldKind, int]:
        """Returns how many holders hold anything, by kind."""
        return collections.Counter(item.kind for item in self._holdings if item.size)

    def held_by_kind(self) -> dict[HeldKind, int]:
        """Returns the bytes that are held, by kind."""
        return dict(self._held_by_kind)

    @property
    def waiting(self) -> int:
        """How many wait for room."""
        return sum(len(item.waiters) for item in self._lanes.all)

    def has_room(self, kind: HeldKind, size: int) -> bool:
        """Returns whether there is room for more of a kind now, so that none waits.

        :param size: in bytes.
        """
        lane = self._lanes.find(kind, size)
        return not lane.waiters and (not lane.held or lane.held + size <= lane.limit)

    def charge(self, holding: Holding, size: int) -> None:
        """Sets the size of a holding in bytes, whatever room there is."""
        former_lane, lane = holding.lane, self._lanes.find(holding.kind, size)
        if former_lane is not None:
            former_lane.held -= holding.size
        lane.held += size
        self.held += size - holding.size
        self._held_by_kind[holding.kind] += size - holding.size
        has_shrunk = size < holding.size or former_lane is not lane
        holding.size, holding.lane = size, lane
        if has_shrunk and former_lane is not None:
            self._grant(former_lane)

    def remove(self, holding: Holding) -> None:
        """Forgets a holding that holds nothing any more."""
        self._holdings.discard(holding)

    async def make_room(self, holding: Holding, size: int, timeout_s: float) -> None:
        """Sets the size of a holding once there is room.

        :param size: in bytes.
        :param timeout_s: how long to wait for room, in seconds.
        :raises NoRoom: if there is none in time.
        """
        lane = self._lanes.find(holding.kind, size)
        if not lane.waiters and lane.fits(holding, size):
            self.charge(holding, size)
            return
        waiter = Waiter(holding, size, asyncio.get_running_loop().create_future())
        lane.waiters.append(waiter)
        try:
            # The caller is not to blame for what is not read meanwhile.
            with holding.not_waiting():
                async with asyncio.timeout(timeout_s):
                    await waiter.granted
        except TimeoutError:
            self._metrics.count(WAITS, outcome="refused")
            raise NoRoom(f"no room for {size} bytes in {timeout_s:.2f} s") from None
        else:
            self._metrics.count(WAITS, outcome="granted")
        finally:
            if waiter in lane.waiters:
                lane.waiters.remove(waiter)
                self._grant(lane)

    def _grant(self, lane: Lane) -> None:
        """Gives room to those who wait in a lane, in their order."""
        while lane.waiters:
            waiter = lane.waiters[0]
            if not lane.fits(waiter.holding, waiter.size):
                return
            lane.waiters.popleft()
            self.charge(waiter.holding, waiter.size)
            if not waiter.granted.done():
                waiter.granted.set_result(None)

    async def shed_periodically(self) -> None:
        """Sheds callers without progress while others wait, until it is cancelled."""
        last_turn = now()
        while True:
            await asyncio.sleep(time_to_tick(SHED_PERIOD_S))
            if now() - last_turn > MAX_TURN_S:
                self._forgive_pause()
            last_turn = now()
            self._report()
            if self.waiting or self.held > self.limit:
                self._shed()

    def _forgive_pause(self) -> None:
        """Begins the wait for callers anew, as this process has not read them."""
        for holding in self._holdings:
            holding.restart_wait()

    def _report(self) -> None:
        self._metrics.set(HELD_LIMIT, self.limit)
        for kind in HeldKind:
            self._metrics.set(HELD, self._held_by_kind[kind], kind=kind.value)

    def _shed(self) -> None:
        """Sheds callers without progress until there is room for all who wait.

        The largest come first, then those that have moved least.
        """
        now_s = now()
        stalled = [
            item for item in self._holdings if item.size and item.is_stalled(now_s)
        ]
        stalled.sort(key=lambda item: (-item.size, item.moved))
        for lane in self._lanes.all:
            in_lane = [item for item in stalled if item.lane is lane]
            self._shed_some(in_lane, lane.needed)
        still_stalled = [item for item in stalled if item.size]
        self._shed_some(still_stalled, self.held - self.limit)

    def _shed_some(self, holdings: list[Holding], needed: int) -> None:
        """Sheds holdings in their order until enough bytes are free."""
        sizes_by_kind: dict[HeldKind, list[int]] = collections.defaultdict(list)
        freed = 0
        for holding in holdings:
            if freed >= needed:
                break
            freed += holding.size
            sizes_by_kind[holding.kind].append(holding.size)
            assert holding.shed is not None
            holding.shed()
        for kind, sizes in sizes_by_kind.items():
            self._metrics.count(SHED, len(sizes), kind=kind.value)
            log(
                CALLERS_SHED,
                kind=kind.value,
                count=len(sizes),
                freed_bytes=sum(sizes),
                held_bytes=self.held,
                limit_bytes=self.limit,
                waiting=self.waiting,
            )
