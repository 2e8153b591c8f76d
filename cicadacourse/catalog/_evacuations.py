"""The failure domains that operators have evacuated, as far as this instance knows.

An operator's request stands in the store, and so does its withdrawal. Every statement
about a failure domain names the position in the store from which it is known. The
statement with the highest position counts, wherever it came from: late, repeated and
reordered messages change nothing, and another instance can end an evacuation only by a
withdrawal that the store holds behind it.
"""

from __future__ import annotations

from typing import Callable, Iterable

import attrs

# Bounds the memory; fleets have some tens of failure domains.
MAX_FAILURE_DOMAINS = 1000


@attrs.frozen
class Evacuation:
    """What the store says about one failure domain.

    :param failure_domain: its name.
    :param is_in_force: whether nothing more may be sent to the endpoints there.
    :param position: the position in the store's topic from which this is known.
    """

    failure_domain: str
    is_in_force: bool
    position: int


class Evacuations:
    """Keeps the newest statement about each failure domain.

    :param on_change: called with each statement that changes whether a domain is
        evacuated, and with its source.
    :ivar is_known: whether the requests were read since the start, here or by the
        instance that they were received from.
    """

    def __init__(self, on_change: Callable[[Evacuation, str], None]) -> None:
        self.is_known = False
        self._on_change = on_change
        self._newest_by_domain: dict[str, Evacuation] = {}

    def __contains__(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is evacuated."""
        newest = self._newest_by_domain.get(failure_domain)
        return newest is not None and newest.is_in_force

    def __bool__(self) -> bool:
        """Returns whether any failure domain is evacuated."""
        return any(item.is_in_force for item in self._newest_by_domain.values())

    @property
    def all(self) -> tuple[Evacuation, ...]:
        """The newest statement about each failure domain, withdrawals included."""
        return tuple(self._newest_by_domain.values())

    def apply(self, evacuation: Evacuation, source: str) -> bool:
        """Puts a statement in force if it is newer than the known one.

        :param source: where it came from, for the log.
        :returns: whether it was newer.
        """
        known = self._newest_by_domain.get(evacuation.failure_domain)
        if known is not None and evacuation.position <= known.position:
            return False
        if known is None and len(self._newest_by_domain) >= MAX_FAILURE_DOMAINS:
            if not self._drop_withdrawn():
                return False
        self._newest_by_domain[evacuation.failure_domain] = evacuation
        was_in_force = known is not None and known.is_in_force
        if was_in_force != evacuation.is_in_force:
            self._on_change(evacuation, source)
        return True

    def apply_all(
        self, in_force: Iterable[Evacuation], position: int, source: str
    ) -> None:
        """Applies all requests that the store held at a position.

        Evacuations that are older than the position and are not among them were
        withdrawn; the withdrawal itself need not be in the store any more.
        """
        listed = {item.failure_domain: item for item in in_force}
        for evacuation in listed.values():
            self.apply(evacuation, source)
        for known in self.all:
            if known.is_in_force and known.failure_domain not in listed:
                withdrawal = Evacuation(known.failure_domain, False, position)
                self.apply(withdrawal, source)

    def _drop_withdrawn(self) -> bool:
        """Forgets one domain that is not evacuated; returns whether there was one."""
        for name, known in self._newest_by_domain.items():
            if not known.is_in_force:
                del self._newest_by_domain[name]
                return True
        return False
