"""What callers and endpoints saw of instances that were cut off from endpoints."""

from __future__ import annotations

from typing import Iterable, Sequence

import attrs

from soak._callers import Attempt
from soak._checks import OK
from soak._cuts import Cuts
from soak._instances import InstanceProcess
from soak._request_records import RequestRecords
from standins.platform import Worker

# First tries must be served from this long after a cut began, by instances without
# another fault for as long.
CONTACT_S = 3.0
# So many first tries may fail at instances that are cut off.
FAILED_SLACK = 10
FAILED_SHARE = 1 / 50
# How long endpoints may work on after a caller has left; the rest allows for a busy
# machine.
CLOSE_BOUND_S = 0.5
LATE_SLACK_S = 0.3


@attrs.define
class PartitionHistory:
    """What callers and endpoints saw of a run.

    :ivar first_tries: the first attempt of each request.
    :ivar departures: the attempts whose callers left before they had the whole answer.
    """

    instances: Sequence[InstanceProcess]
    cuts: Cuts
    records: RequestRecords = attrs.field(factory=RequestRecords)
    first_tries: list[Attempt] = attrs.field(factory=list)
    departures: list[Attempt] = attrs.field(factory=list)

    def record(self, attempts: list[Attempt]) -> None:
        """Records all attempts of one request."""
        self.records.record(attempts)
        self.first_tries += attempts[:1]

    def summarize(self) -> str:
        """Returns a line with the numbers of first tries that were served."""
        there = self._at_cut_instances()
        elsewhere = [item for item in self.first_tries if self._is_well(item)]
        return (
            f"first tries served: {_served(there)} of {len(there)} at instances that"
            f" were cut off, {_served(elsewhere)} of {len(elsewhere)} elsewhere"
        )

    def find_unserved(self) -> list[str]:
        """Returns a line if too many first tries failed at instances cut off."""
        there = self._at_cut_instances()
        failed = [item for item in there if item.status != OK]
        if len(failed) <= FAILED_SLACK + FAILED_SHARE * len(there):
            return []
        shown = [f"{item.id} {item.kind.path} {item.status}" for item in failed[:5]]
        return [f"{self.summarize()}; {', '.join(shown)} and others failed"]

    def find_late_ends(self, workers: Iterable[Worker]) -> list[str]:
        """Returns a line for each endpoint that worked on after the caller had left."""
        return [
            f"{item.id} went on at {worker.id} for"
            f" {worker.ended_at_by_request[item.id] - item.ended:.2f} s after its"
            f" caller had left {item.instance.name}"
            for worker in workers
            for item in self.departures
            if worker.ended_at_by_request.get(item.id, 0.0) > _latest_end(item)
            and not self._is_disturbed(item)
        ]

    def _at_cut_instances(self) -> list[Attempt]:
        """Returns the first tries that others could serve for instances cut off."""
        return [
            item
            for item in self.first_tries
            if any(
                part.began + CONTACT_S <= item.started < part.ended
                for part in self.cuts.partitions
                if part.is_whole and part.instance is item.instance
            )
            and not self._is_impaired(item.instance, item)
            and any(self._is_well(item, other) for other in self.instances)
        ]

    def _is_well(self, item: Attempt, instance: InstanceProcess | None = None) -> bool:
        """Whether an instance had no fault and no cut while a request was served.

        :param instance: by default the one that got the request.
        """
        instance = instance or item.instance
        since = item.started - CONTACT_S
        is_cut = self.cuts.is_cut(instance, since, item.ended)
        return not is_cut and not self._is_impaired(instance, item)

    def _is_impaired(self, instance: InstanceProcess, item: Attempt) -> bool:
        since = item.started - CONTACT_S
        return self.records.is_impaired(instance.name, since, item.ended)

    def _is_disturbed(self, item: Attempt) -> bool:
        """Whether a fault was there, or a cut began or ended, beside a departure."""
        since, until = item.started - CONTACT_S, _latest_end(item)
        return any(
            self.records.is_impaired(instance.name, since, until)
            for instance in self.instances
        ) or any(
            since < at < until
            for part in self.cuts.partitions
            for at in (part.began, part.ended)
        )


def _served(attempts: Sequence[Attempt]) -> int:
    return sum(item.status == OK for item in attempts)


def _latest_end(departure: Attempt) -> float:
    return departure.ended + CLOSE_BOUND_S + LATE_SLACK_S
