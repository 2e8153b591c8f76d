"""Whether something is disturbed by faults, and since when it no longer is."""

from __future__ import annotations

import contextlib
from typing import Iterator

import attrs

from cicadacourse.util.clock import now


@attrs.define
class FaultWindow:
    """Counts the faults in force on one thing.

    :ivar faults: how many there are now.
    :ivar calm_since: when the last of them ended, loop time in seconds.
    """

    faults: int = 0
    calm_since: float = 0.0

    @contextlib.contextmanager
    def open(self) -> Iterator[None]:
        """Notes a fault while it is open."""
        self.faults += 1
        try:
            yield
        finally:
            self.faults -= 1
            self.calm_since = now()

    def is_calm_since(self, at: float) -> bool:
        """Returns whether no fault was in force at any time since then."""
        return not self.faults and self.calm_since <= at
