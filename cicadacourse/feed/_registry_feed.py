"""Applies entries of the registry to the endpoints that an instance knows."""

from __future__ import annotations

import asyncio
from typing import Iterable

from cicadacourse.application import Application
from cicadacourse.catalog import (
    CatalogService,
    Endpoint,
    EndpointState,
    ListedEndpoint,
)
from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE, STORE_RESTORED
from cicadacourse.logs import (
    ENDPOINT_COLD,
    ENDPOINT_GONE,
    ENDPOINT_LISTED,
    REGISTRY_READ,
    log,
)
from cicadacourse.util.clock import now

# If the store recovers this soon after the instance resumed from a pause, there was no
# outage of the store: the pause alone made the reads fail.
RESUME_GRACE_S = 2.0
# For this long after the store came back from a copy, its entries may be older than
# what is known here. Endpoints renew theirs within a few seconds, and others expire.
RESTORED_GRACE_S = 6.0
# Bounds the memory of processes that were removed.
MAX_REMOVED_PROCESSES = 1000


class RegistryFeed:
    """Keeps the endpoints of the catalogue service as the store's registry lists them.

    Entries expire during an outage of the store although their endpoints are alive. An
    endpoint whose entry is missing shortly after the store's recovery is therefore held
    for ``hold_s``. One whose entry vanished while this instance was paused is removed
    at once: otherwise this instance would announce it to others too.

    :param hold_s: how many seconds after the store's recovery endpoints are held.
    """

    def __init__(
        self, app: Application, catalog_service: CatalogService, hold_s: float
    ) -> None:
        self._app = app
        self._catalog_service = catalog_service
        self._registry = catalog_service.registry
        self._hold_s = hold_s
        self._recovered_at: float | None = None
        self._resumed_at: float | None = None
        self._removal_timer_by_id: dict[str, asyncio.TimerHandle] = {}
        self._has_changed = False
        self._restored_at: float | None = None
        self._removed_processes: dict[tuple[str, int | None], None] = {}
        app.events.connect(RESUMED_AFTER_PAUSE, self._record_resume)
        app.events.connect(STORE_RESTORED, self._record_restored)

    def record_store_recovered(self) -> None:
        """Starts the period in which endpoints without an entry are held.

        It doesn't start within ``RESUME_GRACE_S`` after this instance resumed.
        """
        resumed_at = self._resumed_at
        if resumed_at is None or now() - resumed_at > RESUME_GRACE_S:
            self._recovered_at = now()

    def _record_restored(self) -> None:
        """Starts the period in which entries may be older than what is known here."""
        self._recovered_at = now()
        self._restored_at = now()

    def _record_resume(self) -> None:
        self._resumed_at = now()
        self._recovered_at = None

    def keep_only(self, listed: set[str]) -> None:
        """Removes each endpoint whose id is not listed, after the hold if one runs."""
        for endpoint_id in self._registry.ids() - listed:
            self.remove_after_hold(endpoint_id)

    def record_full_read(self) -> None:
        """Records that all entries of the registry were read and applied."""
        log(REGISTRY_READ, endpoints=len(self._registry))
        is_first = not self._catalog_service.is_registry_known
        self._catalog_service.mark_registry_known()
        feed = self._app.find("feed")
        if is_first and feed is not None:
            feed.read_delegation.record_first_read(now())

    def record_read(self, offset: int) -> None:
        """Records that the registry was read up to an offset, changed or not."""
        self._catalog_service.registry_read_at = now()
        if self._has_changed:
            self._has_changed = False
            self._catalog_service.registry_offset = offset
        self._app.get("load").notify_change()

    def replace_all(self, endpoints: Iterable[ListedEndpoint], offset: int) -> None:
        """Replaces all endpoints by those that another instance knows.

        :param offset: up to which that instance had read the registry when its
            endpoints last changed.
        """
        by_id = {item.endpoint.id: item for item in endpoints}
        for endpoint_id in self._registry.ids() - set(by_id):
            self.remove(endpoint_id, "another instance no longer lists it")
        for item in by_id.values():
            self.put(item.endpoint, item.cold_left_s)
        self._has_changed = False
        self._catalog_service.registry_offset = offset
        self._catalog_service.mark_registry_known()

    def put(self, endpoint: Endpoint, cold_left_s: float = 0.0) -> None:
        """Adds or replaces an endpoint and ends its hold.

        :param cold_left_s: for how many seconds it is still cold.
        """
        timer = self._removal_timer_by_id.pop(endpoint.id, None)
        if timer is not None:
            timer.cancel()
        endpoint = self._registry.complete(endpoint)
        known_endpoint = self._registry.find(endpoint.id)
        if self._catalog_service.cold.record(endpoint, cold_left_s):
            self._has_changed = True
            log(ENDPOINT_COLD, endpoint=endpoint.id, for_s=cold_left_s)
        if known_endpoint == endpoint or self._is_outdated(endpoint, known_endpoint):
            return
        self._registry.put(endpoint)
        self._has_changed = True
        log(
            ENDPOINT_LISTED,
            endpoint=endpoint.id,
            pool=endpoint.pool,
            address=endpoint.address,
            state=endpoint.state.value,
            started_ms=endpoint.started_ms,
        )
        if known_endpoint is not None and not known_endpoint.is_same_process(endpoint):
            self._app.events.emit(ENDPOINT_CHANGED, known_endpoint)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)

    def remove_after_hold(self, endpoint_id: str) -> None:
        """Removes an unlisted endpoint, at the end of the hold period if one runs."""
        if (
            endpoint_id not in self._registry
            or endpoint_id in self._removal_timer_by_id
        ):
            return
        hold_s = self._hold_left_s()
        if hold_s <= 0:
            self.remove(endpoint_id, "its entry is gone")
            return
        loop = asyncio.get_running_loop()
        self._removal_timer_by_id[endpoint_id] = loop.call_later(
            hold_s, self.remove, endpoint_id, "its entry lapsed and did not come back"
        )

    def remove(self, endpoint_id: str, reason: str) -> None:
        """Removes an endpoint at once; it gets no further requests."""
        timer = self._removal_timer_by_id.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()
        endpoint = self._registry.remove(endpoint_id)
        if endpoint is None:
            return
        self._has_changed = True
        self._record_removed(endpoint)
        log(ENDPOINT_GONE, endpoint=endpoint_id, reason=reason)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)

    def _record_removed(self, endpoint: Endpoint) -> None:
        self._removed_processes[endpoint.id, endpoint.started_ms] = None
        if len(self._removed_processes) > MAX_REMOVED_PROCESSES:
            del self._removed_processes[next(iter(self._removed_processes))]

    def _is_outdated(self, endpoint: Endpoint, known: Endpoint | None) -> bool:
        """Returns whether an entry of a restored store is older than what is known.

        It is if it lists a process that was removed here, or one as ready that is
        leaving.
        """
        if self._restored_at is None or now() - self._restored_at > RESTORED_GRACE_S:
            return False
        if known is None or not known.is_same_process(endpoint):
            return (endpoint.id, endpoint.started_ms) in self._removed_processes
        return known.state is EndpointState.LEAVING

    def _hold_left_s(self) -> float:
        if self._recovered_at is None:
            return 0.0
        return self._recovered_at + self._hold_s - now()
