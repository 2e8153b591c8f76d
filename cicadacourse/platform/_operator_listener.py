"""Passes the records that operators write to the parts that apply them."""

from __future__ import annotations

from typing import Sequence

from cicadacourse.catalog import Evacuation
from cicadacourse.feed import EvacuationFeed
from cicadacourse.platform._follower import TopicListener
from cicadacourse.platform._names import KEY_EVACUATION_PREFIX
from cicadacourse.platform._records import KeyedRecord


class OperatorListener(TopicListener):
    """Splits the operators' topic into configurations and evacuations.

    :param configurations: receives every record.
    :param evacuations: receives requests to evacuate a failure domain and their
        withdrawals; None if operators evacuate none.
    """

    def __init__(
        self, configurations: TopicListener, evacuations: EvacuationFeed | None
    ) -> None:
        self._configurations = configurations
        self._evacuations = evacuations

    def on_snapshot(self, records: Sequence[KeyedRecord], end: int) -> None:
        """Applies all evacuations before the newest configuration.

        An instance serves no request before it knows both.
        """
        if self._evacuations is not None:
            in_force = [item for item in _read_evacuations(records) if item.is_in_force]
            self._evacuations.apply_snapshot(in_force, end)
        self._configurations.on_snapshot(records, end)

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Applies evacuations and withdrawals, and the newest configuration."""
        if self._evacuations is not None:
            for evacuation in _read_evacuations(records):
                self._evacuations.apply_read(evacuation)
        self._configurations.on_records(records)

    def on_read(self, end: int, as_of: float) -> None:
        """Records that the configuration in force was the newest one."""
        self._configurations.on_read(end, as_of)


def _read_evacuations(records: Sequence[KeyedRecord]) -> list[Evacuation]:
    """Returns what records say about failure domains.

    A request counts by its key alone, as all else in it may be missing.
    """
    found = []
    for record in records:
        domain = record.key.removeprefix(KEY_EVACUATION_PREFIX)
        if domain and domain != record.key:
            is_in_force = record.value is not None
            found.append(Evacuation(domain, is_in_force, record.position))
    return found
