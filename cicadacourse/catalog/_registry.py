"""The registry of endpoints, as known to this instance."""

from __future__ import annotations

from typing import Iterable

import attrs

from cicadacourse.catalog._endpoint import Endpoint, EndpointState


class EndpointRegistry:
    """The registered endpoints by id."""

    def __init__(self) -> None:
        self._endpoint_by_id: dict[str, Endpoint] = {}
        self._ready_by_pool: dict[str, tuple[Endpoint, ...]] = {}

    def __len__(self) -> int:
        return len(self._endpoint_by_id)

    def __contains__(self, endpoint_id: object) -> bool:
        return endpoint_id in self._endpoint_by_id

    def ids(self) -> set[str]:
        """Returns the ids of all endpoints."""
        return set(self._endpoint_by_id)

    def all(self) -> list[Endpoint]:
        """Returns all endpoints."""
        return list(self._endpoint_by_id.values())

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint, or None if it is not registered."""
        return self._endpoint_by_id.get(endpoint_id)

    def put(self, endpoint: Endpoint) -> Endpoint | None:
        """Adds or replaces an endpoint and returns the one it replaced.

        See :meth:`complete` for an endpoint without a start.
        """
        known = self._endpoint_by_id.get(endpoint.id)
        self._endpoint_by_id[endpoint.id] = self.complete(endpoint)
        self._ready_by_pool.clear()
        return known

    def complete(self, endpoint: Endpoint) -> Endpoint:
        """Returns an endpoint with the start that is known for its id, if it has none.

        Processes always report their start or never do. So an entry without it is from
        another writer and doesn't show that another process has started.
        """
        known = self._endpoint_by_id.get(endpoint.id)
        if endpoint.started_ms is not None or known is None:
            return endpoint
        return attrs.evolve(endpoint, started_ms=known.started_ms)

    def remove(self, endpoint_id: str) -> Endpoint | None:
        """Removes an endpoint and returns it, or None if it was not there."""
        self._ready_by_pool.clear()
        return self._endpoint_by_id.pop(endpoint_id, None)

    def ready(self, pool: str) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a pool that accept new requests, sorted by id.

        Each choice asks for them, and they seldom change.
        """
        ready = self._ready_by_pool.get(pool)
        if ready is None:
            found = [item for item in self._in_pool(pool) if _is_ready(item)]
            ready = tuple(sorted(found, key=lambda item: item.id))
            self._ready_by_pool[pool] = ready
        return ready

    def has_ready(self, pool: str) -> bool:
        """Returns whether any endpoint of a pool accepts new requests."""
        return bool(self.ready(pool))

    def _in_pool(self, pool: str) -> Iterable[Endpoint]:
        return (item for item in self._endpoint_by_id.values() if item.pool == pool)


def _is_ready(endpoint: Endpoint) -> bool:
    return endpoint.state is EndpointState.READY
