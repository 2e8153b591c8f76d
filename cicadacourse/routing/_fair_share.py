"""Start-time fair queueing among organisations."""

from __future__ import annotations

from typing import Iterable


class FairShare:
    """Keeps for each organisation the virtual time up to which it was served.

    An organisation that comes back after a quiet time starts at the virtual time of
    the last one served, so that it can't save up service.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._finish_by_organisation: dict[str, float] = {}

    def start(self, organisation: str) -> float:
        """Returns the virtual time at which an organisation's next work starts."""
        return max(self._now, self._finish_by_organisation.get(organisation, 0.0))

    def charge(self, organisation: str, cost: float) -> None:
        """Counts work that was just granted."""
        start = self.start(organisation)
        self._now = start
        self._finish_by_organisation[organisation] = start + cost

    def forget_idle(self, waiting: Iterable[str]) -> None:
        """Drops organisations whose served time has passed and that don't wait."""
        kept = set(waiting)
        self._finish_by_organisation = {
            name: finish
            for name, finish in self._finish_by_organisation.items()
            if finish > self._now or name in kept
        }
