"""Who holds which lease, as the order of the log decides."""

from __future__ import annotations

from collections import defaultdict

import attrs

from cicadacourse.orders._records import (
    HeldLease,
    Lease,
    LeaseRecord,
    Release,
    Snapshot,
)


@attrs.frozen
class Changes:
    """What a record changed for its holder.

    :param granted: the leases that it was granted.
    :param renewed: the leases that last longer now.
    """

    granted: tuple[HeldLease, ...] = ()
    renewed: tuple[HeldLease, ...] = ()


class LeaseFold:
    """Applies lease records in log order; every instance computes the same.

    A lease goes to the first that claims it at or after its end, by the log's own
    record times. Each record of a holder renews the leases that it holds still.

    :param lease_ms: how long a lease lasts, in milliseconds.
    """

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self.leases_by_name: dict[str, Lease] = {}
        self.tables_version = 0
        self.time_ms = 0
        self._names_by_holder: defaultdict[str, set[str]] = defaultdict(set)

    @classmethod
    def from_snapshot(cls, lease_ms: int, snapshot: Snapshot) -> LeaseFold:
        """Returns the state that a snapshot gives."""
        fold = cls(lease_ms)
        fold.leases_by_name = dict(snapshot.leases_by_name)
        fold.tables_version = snapshot.tables_version
        fold.time_ms = snapshot.time_ms
        fold._index()
        return fold

    def snapshot(self, as_of: int) -> Snapshot:
        """Returns the leases that have not ended.

        :param as_of: offset of the first record that was not applied.
        """
        return Snapshot(
            as_of=as_of,
            time_ms=self.time_ms,
            tables_version=self.tables_version,
            leases_by_name={
                name: lease
                for name, lease in self.leases_by_name.items()
                if lease.expires_ms > self.time_ms
            },
        )

    def holder(self, name: str, time_ms: int) -> str | None:
        """Returns who holds a lease at a time of the log's clock."""
        lease = self.leases_by_name.get(name)
        if lease is None or time_ms >= lease.expires_ms:
            return None
        return lease.holder

    def apply(self, offset: int, time_ms: int, record: LeaseRecord) -> Changes:
        """Applies one record; the log's clock never goes back here."""
        self.time_ms = max(self.time_ms, time_ms)
        self.tables_version = max(self.tables_version, record.tables_version)
        for release in record.releases:
            self._release(record.holder, release)
        renewed = self._renew(record.holder)
        granted = [
            HeldLease(name, offset)
            for name in record.claims
            if self._grant(record.holder, name, offset)
        ]
        return Changes(tuple(granted), renewed)

    def held(self, holder: str) -> list[HeldLease]:
        """Returns the leases that a holder has at the latest time, by name."""
        return [
            HeldLease(name, self.leases_by_name[name].token)
            for name in sorted(self._names_by_holder.get(holder, ()))
            if self.time_ms < self.leases_by_name[name].expires_ms
        ]

    def forget_ended(self) -> None:
        """Forgets leases that have ended."""
        self.leases_by_name = {
            name: lease
            for name, lease in self.leases_by_name.items()
            if lease.expires_ms > self.time_ms
        }
        self._index()

    def _index(self) -> None:
        self._names_by_holder.clear()
        for name, lease in self.leases_by_name.items():
            self._names_by_holder[lease.holder].add(name)

    def _release(self, holder: str, release: Release) -> None:
        if HeldLease(release.name, release.token) not in self.held(holder):
            return
        self.leases_by_name[release.name] = attrs.evolve(
            self.leases_by_name[release.name],
            expires_ms=self.time_ms,
            released=release.clean,
        )

    def _renew(self, holder: str) -> tuple[HeldLease, ...]:
        renewed = tuple(self.held(holder))
        for held in renewed:
            self.leases_by_name[held.name] = attrs.evolve(
                self.leases_by_name[held.name],
                expires_ms=self.time_ms + self._lease_ms,
            )
        return renewed

    def _grant(self, holder: str, name: str, offset: int) -> bool:
        before = self.leases_by_name.get(name)
        if before is not None and self.time_ms < before.expires_ms:
            return False
        if before is not None:
            self._names_by_holder[before.holder].discard(name)
        self._names_by_holder[holder].add(name)
        self.leases_by_name[name] = Lease(
            holder,
            offset,
            self.time_ms + self._lease_ms,
            follows_release=before is not None and before.released,
        )
        return True
