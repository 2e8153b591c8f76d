"""The configurations that were written, and which of them may be in force."""

from __future__ import annotations

from typing import Iterable

import attrs

from cicadacourse.util.clock import now

# A configuration is in force on each instance this long after the store acknowledged it
# (``configApplyMs`` of the grown deployments).
APPLY_BOUND_S = 3.0


@attrs.define
class WrittenConfiguration:
    """What one configuration allows.

    :param sent_at: when it was sent to the store, loop time in seconds.
    :param prefixes: the path prefixes of its added routes.
    :param keys: its API keys.
    :ivar superseded_at: when the store acknowledged the next one, loop time in seconds;
        infinite for the newest.
    """

    sent_at: float
    prefixes: frozenset[str]
    keys: frozenset[str]
    superseded_at: float = float("inf")


@attrs.define
class ConfigurationHistory:
    """Records configurations in the order in which the store acknowledged them."""

    _written: list[WrittenConfiguration] = attrs.field(factory=list)

    def record(
        self, sent_at: float, prefixes: Iterable[str], keys: Iterable[str]
    ) -> None:
        """Records a configuration that the store has just acknowledged."""
        if self._written:
            self._written[-1].superseded_at = now()
        self._written.append(
            WrittenConfiguration(sent_at, frozenset(prefixes), frozenset(keys))
        )

    def may_be_in_force(
        self, started: float, ended: float
    ) -> list[WrittenConfiguration]:
        """Returns those that an instance may apply to a request, oldest first.

        An instance may go by a superseded one until ``APPLY_BOUND_S`` later, and by a
        new one as soon as it is sent.

        :param started: when the request was sent, loop time in seconds.
        :param ended: when its response ended, loop time in seconds.
        """
        return [
            item
            for item in self._written
            if item.sent_at <= ended and item.superseded_at + APPLY_BOUND_S > started
        ]

    def allowed_by_all(
        self, started: float, ended: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the prefixes and the keys that all those in force allow."""
        in_force = self.may_be_in_force(started, ended)
        prefixes = frozenset.intersection(*(item.prefixes for item in in_force))
        return prefixes, frozenset.intersection(*(item.keys for item in in_force))
