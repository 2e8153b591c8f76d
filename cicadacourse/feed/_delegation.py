"""Which instances read the store for their failure domain.

Load answered: with many instances, each reading the registry about once a second, reads
grow with the fleet though all bring the same. Two instances of each failure domain
read; the others hear from them, and read themselves as soon as none of the two has.
"""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.util import hashing

# One may fail without a delay.
STORE_READERS_PER_DOMAIN = 2
# Fetching what a neighbour knows mostly takes some milliseconds.
MAX_BEHIND_S = 0.4
_KEY = "readers of the store"


@attrs.define
class ReadDelegation:
    """Knows how fresh the neighbours' reading is.

    An instance also reads itself while it knows that others are ahead and could not
    fetch from them what they know.

    :param max_age_s: beyond which an instance reads itself.
    """

    max_age_s: float
    _behind_since_by_subject: dict[str, float] = attrs.field(factory=dict)
    _read_at_by_instance: dict[str, float] = attrs.field(factory=dict)

    def record_read(self, instance: str, age_s: float, now_s: float) -> None:
        """Notes how long ago an instance has read the registry."""
        self._read_at_by_instance[instance] = now_s - age_s

    def mark_behind(self, subject: str, now_s: float) -> None:
        """Notes that others know more of a subject, such as the configuration."""
        self._behind_since_by_subject.setdefault(subject, now_s)

    def mark_caught_up(self, subject: str) -> None:
        """Notes that this instance knows as much of a subject as the others."""
        self._behind_since_by_subject.pop(subject, None)

    def _is_stuck(self, now: float) -> bool:
        since = self._behind_since_by_subject.values()
        return any(now - item > MAX_BEHIND_S for item in since)

    def is_store_reader(
        self, own: str, neighbours: Sequence[str], now_s: float
    ) -> bool:
        """Returns whether an instance reads the store now.

        :param neighbours: live instances of the failure domain, this one included.
        """
        if (
            self._is_stuck(now_s)
            or own in hashing.rank(_KEY, neighbours)[:STORE_READERS_PER_DOMAIN]
        ):
            return True
        return not any(
            now_s - self._read_at_by_instance.get(name, float("-inf")) <= self.max_age_s
            for name in neighbours
            if name != own
        )
