"""What an instance knows of processes of endpoints, beside their registry entries.

An entry may be from another writer than the process. So it neither shows that another
process runs under an id nor ends what is known of one whose start is known.
"""

from __future__ import annotations

from typing import Callable, Generic, TypeVar

from cicadacourse.catalog._endpoint import UNKNOWN_START, Endpoint, ProcessKey
from cicadacourse.catalog._registry import EndpointRegistry

T = TypeVar("T")


class ProcessMemory(Generic[T]):
    """Keeps a value for each of a bounded number of processes.

    :param max_processes: beyond it, a process that the registry does not list is
        dropped, or else the one whose endpoint was added first.
    :param on_dropped: called with a process that is dropped, and its value.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        max_processes: int,
        on_dropped: Callable[[ProcessKey, T], None],
    ) -> None:
        self._registry = registry
        self._max_processes = max_processes
        self._on_dropped = on_dropped
        self._values_by_id: dict[str, dict[int, T]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of processes."""
        return self._count

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Returns whether a value is known that counts for an endpoint."""
        return self.find(endpoint) is not None

    def find(self, endpoint: Endpoint) -> T | None:
        """Returns the value that counts for an endpoint, or None.

        If the start of its process is not known, it may be any process of its id. The
        newest one counts then.
        """
        values = self._values_by_id.get(endpoint.id)
        if values is None:
            return None
        return values.get(self.process_of(endpoint).started_ms)

    def process_of(self, endpoint: Endpoint) -> ProcessKey:
        """Returns the process that an endpoint's value is kept for, or would be."""
        values = self._values_by_id.get(endpoint.id)
        if values is None or endpoint.started_ms is not None:
            return endpoint.process
        return ProcessKey(endpoint.id, max(values))

    def get(self, process: ProcessKey) -> T | None:
        """Returns the value of exactly this process, or None."""
        return self._values_by_id.get(process.endpoint_id, {}).get(process.started_ms)

    def put(self, process: ProcessKey, value: T) -> None:
        """Sets the value of a process, and drops another one if there are too many."""
        values = self._values_by_id.setdefault(process.endpoint_id, {})
        self._count += process.started_ms not in values
        values[process.started_ms] = value
        if self._count > self._max_processes:
            self._drop_one()

    def pop(self, process: ProcessKey) -> T | None:
        """Removes the value of a process and returns it, None if there was none."""
        values = self._values_by_id.get(process.endpoint_id, {})
        value = values.pop(process.started_ms, None)
        if value is not None:
            self._count -= 1
            if not values:
                del self._values_by_id[process.endpoint_id]
        return value

    def pop_ended(self, endpoint: Endpoint) -> T | None:
        """Removes the value of a process of unknown start that may have ended.

        It may have if its entry is gone or names a start. Its successor under the same
        id could not be told from it.

        :param endpoint: an entry that was changed or removed.
        :returns: the value that was removed, or None.
        """
        if endpoint.started_ms is not None:
            return None
        current = self._registry.find(endpoint.id)
        if current is not None and current.started_ms is None:
            return None
        return self.pop(endpoint.process)

    def _drop_one(self) -> None:
        listed = ((id, self._find_unlisted(id)) for id in self._values_by_id)
        unlisted = (ProcessKey(id, start) for id, start in listed if start is not None)
        process = next(unlisted, None) or self._first()
        value = self.pop(process)
        if value is not None:
            self._on_dropped(process, value)

    def _find_unlisted(self, endpoint_id: str) -> int | None:
        """Returns the start of a process that the registry does not list, or None."""
        current = self._registry.find(endpoint_id)
        starts = self._values_by_id[endpoint_id]
        if current is None:
            return min(starts)
        listed = current.started_ms or UNKNOWN_START
        return min((item for item in starts if item != listed), default=None)

    def _first(self) -> ProcessKey:
        endpoint_id, values = next(iter(self._values_by_id.items()))
        return ProcessKey(endpoint_id, min(values))
