"""Recognizes outdated entries whose positions don't tell that they are.

Instances of earlier releases name no positions. A store that has come back from a copy
gives its older records higher positions than those that it lost.
"""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint, EndpointState
from cicadacourse.util.clock import now

# Bounds the memory; the process that was removed first is dropped.
MAX_REMOVED_PROCESSES = 1000
# Longer than an instance of an earlier release holds an endpoint without an entry and
# lists it to others.
REMOVED_LATELY_S = 6.0
# For this long after the store came back from a copy, its entries may be older than
# what is known here. Endpoints renew theirs within a few seconds, and others expire.
RESTORED_GRACE_S = 6.0

_Process = tuple[str, int | None]


@attrs.define
class OutdatedEntries:
    """Compares entries with the processes that were removed here or that leave."""

    _removed_at: dict[_Process, float] = attrs.field(factory=dict)
    _restored_at: float | None = None

    def record_removed(self, endpoint: Endpoint) -> None:
        """Records that a process is removed now."""
        key = endpoint.id, endpoint.started_ms
        self._removed_at.pop(key, None)
        self._removed_at[key] = now()
        if len(self._removed_at) > MAX_REMOVED_PROCESSES:
            del self._removed_at[next(iter(self._removed_at))]

    def record_restored(self) -> None:
        """Records that the store has come back from a copy."""
        self._restored_at = now()

    def is_before_restore(self, endpoint: Endpoint, known: Endpoint | None) -> bool:
        """Returns whether an entry of a restored store is older than what is known.

        It is if it lists a process that was removed here, or one as ready that is
        leaving.

        :param known: the entry that is known of the endpoint.
        """
        if self._restored_at is None or now() - self._restored_at > RESTORED_GRACE_S:
            return False
        if known is None or not known.is_same_process(endpoint):
            return (endpoint.id, endpoint.started_ms) in self._removed_at
        return known.state is EndpointState.LEAVING

    def may_be_newer(self, endpoint: Endpoint, known: Endpoint | None) -> bool:
        """Returns whether an entry without a position may be newer than what is known.

        Its sender may still list a process that is gone, or as ready one that leaves.
        So one that was just removed here or that leaves stays so.
        """
        if known is None:
            removed_at = self._removed_at.get((endpoint.id, endpoint.started_ms))
            return removed_at is None or now() - removed_at > REMOVED_LATELY_S
        if not known.is_same_process(endpoint):
            return (endpoint.started_ms or 0) > (known.started_ms or 0)
        was_leaving = known.state is EndpointState.LEAVING
        return not was_leaving or endpoint.state is EndpointState.LEAVING
