"""The fleet as the registry lists it, through outages of the store."""

from __future__ import annotations

import asyncio
from typing import Iterable

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.logs import ENDPOINT_GONE, ENDPOINT_LISTED, REGISTRY_READ, log
from cicadacourse.util.clock import now

# A store that is regained this soon after a pause of the instance was not away; the
# pause alone broke the reads.
RESUMED_RECENTLY_S = 2.0


class RegistryFeed:
    """Keeps the fleet as the registry lists it.

    Entries lapse while the store is away although their endpoints live, so one that
    vanishes shortly after the store's return is still believed for a while. One that
    vanished while this instance was paused is not: it would be told to others too.

    :param hold_s: how long after the store's return.
    """

    def __init__(self, app: Application, keeper: CatalogService, hold_s: float) -> None:
        self._app = app
        self._keeper = keeper
        self._fleet = keeper.registry
        self._hold_s = hold_s
        self._regained_at: float | None = None
        self._resumed_at: float | None = None
        self._timer_by_id: dict[str, asyncio.TimerHandle] = {}
        self._has_changed = False
        app.events.connect(RESUMED_AFTER_PAUSE, self._note_resumed)

    def record_store_recovered(self) -> None:
        """Starts the time in which vanished entries are still believed."""
        resumed_at = self._resumed_at
        if resumed_at is None or now() - resumed_at > RESUMED_RECENTLY_S:
            self._regained_at = now()

    def _note_resumed(self) -> None:
        self._resumed_at = now()
        self._regained_at = None

    def keep_only(self, listed: set[str]) -> None:
        """Drops what is no longer listed."""
        for endpoint_id in self._fleet.ids() - listed:
            self.remove_after_hold(endpoint_id)

    def record_full_read(self) -> None:
        """Notes that every entry of the registry was taken."""
        log(REGISTRY_READ, endpoints=len(self._fleet))
        self._keeper.mark_registry_known()

    def record_read(self, offset: int) -> None:
        """Notes that the registry was read up to an offset, with or without news."""
        self._keeper.registry_read_at = now()
        if self._has_changed:
            self._has_changed = False
            self._keeper.registry_offset = offset
        self._app.get("load").notify_change()

    def replace_all(self, endpoints: Iterable[Endpoint], offset: int) -> None:
        """Takes all endpoints as another instance knows them.

        :param offset: up to which that instance had read when they last changed.
        """
        by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in self._fleet.ids() - set(by_id):
            self.remove(endpoint_id, "another instance no longer lists it")
        for endpoint in by_id.values():
            self.put(endpoint)
        self._has_changed = False
        self._keeper.registry_offset = offset
        self._keeper.mark_registry_known()

    def put(self, endpoint: Endpoint) -> None:
        """Takes an endpoint as it is listed now."""
        timer = self._timer_by_id.pop(endpoint.id, None)
        if timer is not None:
            timer.cancel()
        known = self._fleet.find(endpoint.id)
        if known == endpoint:
            return
        self._fleet.put(endpoint)
        self._has_changed = True
        log(
            ENDPOINT_LISTED,
            endpoint=endpoint.id,
            pool=endpoint.pool,
            address=endpoint.address,
            state=endpoint.state.value,
            started_ms=endpoint.started_ms,
        )
        if known is not None and not known.is_same_process(endpoint):
            self._app.events.emit(ENDPOINT_CHANGED, known)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)

    def remove_after_hold(self, endpoint_id: str) -> None:
        """Removes an endpoint that is no longer listed, perhaps after a while."""
        if endpoint_id not in self._fleet or endpoint_id in self._timer_by_id:
            return
        hold_s = self._hold_left_s()
        if hold_s <= 0:
            self.remove(endpoint_id, "its entry is gone")
            return
        loop = asyncio.get_running_loop()
        self._timer_by_id[endpoint_id] = loop.call_later(
            hold_s, self.remove, endpoint_id, "its entry lapsed and did not come back"
        )

    def remove(self, endpoint_id: str, reason: str) -> None:
        """Removes an endpoint at once; it gets nothing from now on."""
        timer = self._timer_by_id.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()
        endpoint = self._fleet.remove(endpoint_id)
        if endpoint is None:
            return
        self._has_changed = True
        log(ENDPOINT_GONE, endpoint=endpoint_id, reason=reason)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)

    def _hold_left_s(self) -> float:
        if self._regained_at is None:
            return 0.0
        return self._regained_at + self._hold_s - now()
