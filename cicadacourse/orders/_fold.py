"""Who holds which lease, as the order of the log decides."""

from __future__ import annotations

import attrs

from cicadacourse.orders._records import HeldLease, Lease, LeaseRecord, Snapshot


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
    record times. A renewal counts only for the holder, before the end.

    :param lease_ms: how long a lease lasts, in milliseconds.
    """

    def __init__(self, lease_ms: int) -> None:
        self._lease_ms = lease_ms
        self.leases_by_name: dict[str, Lease] = {}
        self.tables_version = 0
        self.time_ms = 0

    @classmethod
    def from_snapshot(cls, lease_ms: int, snapshot: Snapshot) -> LeaseFold:
        """Returns the state that a snapshot gives."""
        fold = cls(lease_ms)
        fold.leases_by_name = dict(snapshot.leases_by_name)
        fold.tables_version = snapshot.tables_version
        fold.time_ms = snapshot.time_ms
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
        for held in record.releases:
            self._release(record.holder, held)
        renewed = [held for held in record.renewals if self._renew(record.holder, held)]
        granted = [
            HeldLease(name, offset)
            for name in record.claims
            if self._grant(record.holder, name, offset)
        ]
        return Changes(tuple(granted), tuple(renewed))

    def forget_ended(self) -> None:
        """Forgets leases that have ended."""
        self.leases_by_name = {
            name: lease
            for name, lease in self.leases_by_name.items()
            if lease.expires_ms > self.time_ms
        }

    def _holds(self, holder: str, held: HeldLease) -> bool:
        lease = self.leases_by_name.get(held.name)
        return (
            lease is not None
            and lease.token == held.token
            and lease.holder == holder
            and self.time_ms < lease.expires_ms
        )

    def _release(self, holder: str, held: HeldLease) -> None:
        if not self._holds(holder, held):
            return
        self.leases_by_name[held.name] = attrs.evolve(
            self.leases_by_name[held.name], expires_ms=self.time_ms, released=True
        )

    def _renew(self, holder: str, held: HeldLease) -> bool:
        if not self._holds(holder, held):
            return False
        self.leases_by_name[held.name] = attrs.evolve(
            self.leases_by_name[held.name], expires_ms=self.time_ms + self._lease_ms
        )
        return True

    def _grant(self, holder: str, name: str, offset: int) -> bool:
        before = self.leases_by_name.get(name)
        if before is not None and self.time_ms < before.expires_ms:
            return False
        self.leases_by_name[name] = Lease(
            holder,
            offset,
            self.time_ms + self._lease_ms,
            follows_release=before is not None and before.released,
        )
        return True
