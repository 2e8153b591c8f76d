"""How many endpoints of a pool may load at a time."""

from __future__ import annotations

from cicadacourse.orders._holder import LeaseHolder


def slot_name(pool_name: str, index: int) -> str:
    """Returns the name of the lease on one of a pool's load slots.

    >>> slot_name("chat", 0)
    'load/chat/0'
    """
    return f"load/{pool_name}/{index}"


class LoadSlots:
    """Leases on a pool's load slots, shared by the holders of its endpoints.

    An endpoint holds a slot from before its load is ordered until it serves again,
    so a pool never has more loads under way than slots.
    """

    def __init__(self, leases: LeaseHolder) -> None:
        self._leases = leases
        self._slots_by_endpoint: dict[str, str] = {}

    def acquire(
        self, endpoint_name: str, pool_name: str, slots: int, needed_s: float
    ) -> bool:
        """Returns whether an endpoint holds a slot; otherwise it asks for one.

        :param slots: how many slots the pool has.
        :param needed_s: how long the slot's lease must last still, in seconds.
        """
        slot = self._slots_by_endpoint.get(endpoint_name)
        if slot is None:
            self._ask(endpoint_name, pool_name, slots)
            return False
        if self._leases.token(slot, needed_s) is not None:
            return True
        if not self._leases.is_free(slot) and not self._leases.holds(slot):
            self.release(endpoint_name)
        return False

    def release(self, endpoint_name: str) -> None:
        """Gives an endpoint's slot back, if it has one."""
        slot = self._slots_by_endpoint.pop(endpoint_name, None)
        if slot is not None:
            self._leases.unwant(slot)

    def _ask(self, endpoint_name: str, pool_name: str, slots: int) -> None:
        """Asks for the first slot that nobody holds."""
        for index in range(slots):
            slot = slot_name(pool_name, index)
            if not self._leases.wants(slot) and self._leases.is_free(slot):
                self._slots_by_endpoint[endpoint_name] = slot
                self._leases.want(slot)
                return
