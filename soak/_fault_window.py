"""Tracks whether faults are in force on a component, and when the last one ended."""

from __future__ import annotations

import contextlib
from typing import Iterator

import attrs

from cicadacourse.util.clock import now


@attrs.define
class FaultWindow:
    """Counts the faults in force on one component.

    :ivar active_faults: the number of faults in force now.
    :ivar fault_free_since: when the last fault ended, loop time in seconds.
    """

    active_faults: int = 0
    fault_free_since: float = 0.0

    @contextlib.contextmanager
    def open(self) -> Iterator[None]:
        """Counts one more fault as in force while the block runs."""
        self.active_faults += 1
        try:
            yield
        finally:
            self.active_faults -= 1
            self.fault_free_since = now()

    def is_fault_free_since(self, at_s: float) -> bool:
        """Returns whether no fault has been in force since ``at_s``, a loop time."""
        return not self.active_faults and self.fault_free_since <= at_s
