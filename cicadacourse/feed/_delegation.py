"""Which instances read the store for their failure domain.

If each instance read the registry about once a second, the load on the store would
grow with the number of instances, although all reads return the same. Therefore two
instances of each failure domain read the store. The others learn from load reports how
far these have read, fetch from them, and read the store themselves as soon as no
neighbour has read it lately.
"""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.util import hashing

# With a second reader, the failure of one delays no update.
STORE_READERS_PER_DOMAIN = 2
# An instance that stays behind its neighbours for longer reads the store itself. In
# most cases, fetching from a neighbour takes a few milliseconds.
MAX_BEHIND_S = 0.4
# A report states the age that a read had when it was sent. Relays and busy instances
# pass it on later, and the read then seems younger by as much.
MAX_REPORT_DELAY_S = 1.0
# Every instance must rank the readers of the store by the same key.
_KEY = "readers of the store"
NEVER = float("-inf")


@attrs.define
class ReadDelegation:
    """Decides whether an instance reads the store or leaves it to its neighbours.

    A neighbour is an instance of the same failure domain. An instance also reads the
    store while it knows that others are ahead and it could not fetch their state.

    :param max_age_s: age in seconds of the neighbours' newest read of the registry,
        beyond which an instance reads the store itself.
    :ivar outage_ended_at: the time of the first read, by whichever instance, after none
        was known for longer than that, loop time in seconds.
    :ivar read_since_loss_at: the time of the first read of another instance that surely
        came after this one's reads began to fail, loop time in seconds; None if none is
        known.
    """

    max_age_s: float
    outage_ended_at: float = NEVER
    read_since_loss_at: float | None = None
    _last_read_at: float = NEVER
    _lost_at: float = float("inf")
    _trusts_until: float = NEVER
    _behind_since_by_subject: dict[str, float] = attrs.field(factory=dict)
    _read_at_by_instance: dict[str, float] = attrs.field(factory=dict)

    def record_read(self, instance: str, age_s: float, now_s: float) -> None:
        """Records how many seconds ago another instance read the registry.

        :param now_s: loop time in seconds.
        """
        self._read_at_by_instance[instance] = now_s - age_s

    def note_read(self, read_at: float) -> None:
        """Records when an instance, this or another one, has read the registry.

        :param read_at: loop time in seconds. Older reads than ``max_age_s`` must not be
            recorded: most instances repeat one of long ago.
        """
        if NEVER < self._last_read_at < read_at - self.max_age_s:
            self.outage_ended_at = read_at
        self._last_read_at = max(read_at, self._last_read_at)
        is_since_loss = read_at > self._lost_at + MAX_REPORT_DELAY_S
        if self.read_since_loss_at is None and is_since_loss:
            self.read_since_loss_at = read_at

    def note_loss(self, now_s: float) -> None:
        """Records that this instance's reads have begun to fail.

        :param now_s: loop time in seconds.
        """
        self._lost_at = now_s
        self.read_since_loss_at = None

    def forget_reads(self) -> None:
        """Forgets when the registry was read: this instance was paused since."""
        self.outage_ended_at = self._last_read_at = NEVER

    def record_first_read(self, now_s: float) -> None:
        """Records that this instance has read everything, and may not know others yet.

        It waits for their reports as long as its own read is recent enough.

        :param now_s: loop time in seconds.
        """
        self._trusts_until = now_s + self.max_age_s

    def mark_behind(self, subject: str, now_s: float) -> None:
        """Records that others have a newer configuration or registry.

        :param subject: ``configuration`` or ``registry``.
        :param now_s: loop time in seconds.
        """
        self._behind_since_by_subject.setdefault(subject, now_s)

    def is_behind(self, subject: str) -> bool:
        """Returns whether others are known to have a newer state of a subject."""
        return subject in self._behind_since_by_subject

    def mark_caught_up(self, subject: str) -> None:
        """Records that this instance is up to date with the others on a subject."""
        self._behind_since_by_subject.pop(subject, None)

    def _is_behind_too_long(self, now_s: float) -> bool:
        behind_since = self._behind_since_by_subject.values()
        return any(now_s - since > MAX_BEHIND_S for since in behind_since)

    def is_store_reader(
        self, own_name: str, neighbours: Sequence[str], now_s: float
    ) -> bool:
        """Returns whether this instance reads the store now.

        :param own_name: name of this instance.
        :param neighbours: names of the alive instances of its failure domain, its own
            included.
        :param now_s: loop time in seconds.
        """
        if (
            self._is_behind_too_long(now_s)
            or own_name in hashing.rank(_KEY, neighbours)[:STORE_READERS_PER_DOMAIN]
        ):
            return True
        if now_s < self._trusts_until:
            return False
        return not any(
            now_s - self._read_at_by_instance.get(name, NEVER) <= self.max_age_s
            for name in neighbours
            if name != own_name
        )
