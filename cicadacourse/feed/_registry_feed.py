"""Applies entries of the registry to the endpoints that an instance knows."""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import (
    UNKNOWN_POSITION,
    CatalogService,
    ListedEndpoint,
    RegistryCopy,
)
from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE, STORE_RESTORED
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.feed._holds import Holds
from cicadacourse.feed._outdated_entries import OutdatedEntries
from cicadacourse.logs import (
    ENDPOINT_COLD,
    ENDPOINT_GONE,
    ENDPOINT_HELD,
    ENDPOINT_LISTED,
    REGISTRY_READ,
    log,
)
from cicadacourse.util.clock import now

# The source of what this instance has read itself, in log lines.
STORE = "store"


class RegistryFeed:
    """Keeps the endpoints of the catalogue service as the store's registry lists them.

    Entries come from this instance's own reads of the store and from copies of other
    instances, in any order. What is known of an endpoint is replaced only by what is
    known from a higher position in the store's log, so that it never goes back.

    Entries expire during an outage of the store although their endpoints are alive. An
    endpoint whose entry is missing shortly after the store's recovery is therefore held
    for ``hold_s``. Only instances that have seen the outage hold endpoints: copies list
    those without an entry apart. One whose entry vanished while this instance was
    paused is removed at once.

    :param hold_s: how many seconds after the store's recovery endpoints are held.
    """

    def __init__(
        self, app: Application, catalog_service: CatalogService, hold_s: float
    ) -> None:
        self._app = app
        self._catalog_service = catalog_service
        self._registry = catalog_service.registry
        self._positions = catalog_service.entry_positions
        self._held_ids = catalog_service.held_ids
        self._holds = Holds(self._held_ids, hold_s, lambda: self._delegation)
        self._has_changed = False
        self._outdated = OutdatedEntries()
        app.events.connect(RESUMED_AFTER_PAUSE, self._holds.record_resume)
        app.events.connect(STORE_RESTORED, self.record_restored)

    @property
    def known_until(self) -> int:
        """The position in the store's log before which every record is applied."""
        return self._positions.known_until

    def record_store_lost(self) -> None:
        """Records that reads of the store have begun to fail."""
        self._holds.record_store_lost()

    def record_store_recovered(self) -> None:
        """Records that reads of the store succeed again after a failure."""
        self._holds.record_store_recovered()

    @property
    def _delegation(self) -> ReadDelegation:
        return self._app.get("feed").read_delegation

    def record_restored(self) -> None:
        """Starts the period in which entries may be older than what is known here."""
        self._holds.record_restored()
        self._outdated.record_restored()

    def apply_snapshot(self, listed_ids: set[str], position: int) -> None:
        """Removes each endpoint without an entry, after the hold if one runs.

        :param listed_ids: the ids of all entries that the store has.
        :param position: the one in the store's log as of which it has no others.
        """
        for endpoint_id in self._registry.ids() - listed_ids:
            self.apply_removal(endpoint_id, position)

    def record_applied(self, position: int) -> None:
        """Records that all records of the log before a position are applied."""
        self._positions.advance_to(position)

    def record_full_read(self) -> None:
        """Records that all entries of the registry were read and applied."""
        log(REGISTRY_READ, endpoints=len(self._registry))
        is_first = not self._catalog_service.is_registry_known
        self._catalog_service.mark_registry_known()
        if is_first:
            self._delegation.record_first_read(now())

    def record_read(self, offset: int) -> None:
        """Records that the registry was read up to an offset, changed or not."""
        self._catalog_service.registry_read_at = now()
        self._positions.advance_to(offset)
        self._delegation.note_read(now())
        if self._has_changed:
            self._has_changed = False
            self._record_change(offset)
        self._app.get("load").notify_change()

    def _record_change(self, offset: int) -> None:
        known_offset = self._catalog_service.registry_offset
        self._catalog_service.registry_offset = max(offset, known_offset)

    def merge(self, copy: RegistryCopy) -> None:
        """Applies what another instance knows where that is newer.

        Endpoints that it still holds are held here only if this instance has seen the
        outage of the store as well: no known instance has read it for some time.
        """
        had_changed = self._has_changed
        listed_ids = {item.endpoint.id for item in copy.listed}
        for endpoint_id in self._registry.ids() - listed_ids - self._held_ids:
            if self._positions.is_news(endpoint_id, copy.position):
                self._remove_unlisted(endpoint_id, copy)
        for item in copy.listed:
            self._merge_entry(item, copy.source)
        self._positions.advance_to(copy.position)
        self._has_changed = had_changed
        self._record_change(copy.position)
        self._catalog_service.mark_registry_known()

    def _remove_unlisted(self, endpoint_id: str, copy: RegistryCopy) -> None:
        """Removes an endpoint that another instance has no entry of."""
        is_held = endpoint_id in copy.held_ids
        hold_s = self._holds.left_for_copies_s(is_held)
        if hold_s > 0:
            self._hold(endpoint_id, copy.position, hold_s)
        else:
            self.remove(endpoint_id, "another instance has no entry of it", copy.source)

    def _merge_entry(self, listed: ListedEndpoint, source: str) -> None:
        """Applies an entry of another instance if it is newer."""
        if listed.position != UNKNOWN_POSITION:
            self.apply_entry(listed, source)
            return
        endpoint_id = listed.endpoint.id
        known = self._registry.find(endpoint_id)
        is_held = endpoint_id in self._held_ids
        if not is_held and self._outdated.may_be_newer(listed.endpoint, known):
            position = self._positions.find(endpoint_id) if known else UNKNOWN_POSITION
            self._put(attrs.evolve(listed, position=position), source)

    def apply_entry(
        self, listed: ListedEndpoint, source: str = STORE, is_newest: bool = False
    ) -> None:
        """Adds or replaces an endpoint and ends its hold, if its entry is newer.

        :param source: ``store``, or the name of the instance that sent it.
        :param is_newest: whether it surely is the newest entry of its endpoint.
        """
        endpoint_id = listed.endpoint.id
        is_unknown = endpoint_id not in self._registry
        is_news = self._positions.is_news(endpoint_id, listed.position)
        if is_news or (is_newest and is_unknown):
            self._put(listed, source)

    def _put(self, listed: ListedEndpoint, source: str) -> None:
        endpoint = self._registry.complete(listed.endpoint)
        known_endpoint = self._registry.find(endpoint.id)
        if self._outdated.is_before_restore(endpoint, known_endpoint):
            return
        if self._holds.end(endpoint.id):
            # The others were told that it has no entry.
            self._has_changed = True
        self._positions.record(endpoint.id, listed.position)
        if self._catalog_service.cold.record(endpoint, listed.cold_left_s):
            self._has_changed = True
            log(ENDPOINT_COLD, endpoint=endpoint.id, for_s=listed.cold_left_s)
        if known_endpoint == endpoint:
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
            position=listed.position,
            source=source,
        )
        if known_endpoint is not None and not known_endpoint.is_same_process(endpoint):
            self._app.events.emit(ENDPOINT_CHANGED, known_endpoint)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)

    def apply_removal(self, endpoint_id: str, position: int) -> None:
        """Removes an endpoint without an entry, after the hold period if one runs.

        :param position: the one in the store's log as of which it has no entry.
        """
        if endpoint_id not in self._registry:
            return
        if not self._positions.is_news(endpoint_id, position):
            return
        hold_s = self._holds.left_s()
        if endpoint_id in self._held_ids:
            self._positions.record(endpoint_id, position)
        elif hold_s > 0:
            self._hold(endpoint_id, position, hold_s)
        else:
            self.remove(endpoint_id, "its entry is gone")

    def apply_unreadable(self, endpoint_id: str, position: int) -> None:
        """Removes an endpoint at once whose newest entry can't be read."""
        if self._positions.is_news(endpoint_id, position):
            self.remove(endpoint_id, "its entry can't be read")

    def _hold(self, endpoint_id: str, position: int, hold_s: float) -> None:
        """Keeps an endpoint without an entry for some seconds."""
        log(ENDPOINT_HELD, endpoint=endpoint_id, position=position, for_s=hold_s)
        self._positions.record(endpoint_id, position)
        self._has_changed = True
        reason = "its entry lapsed and did not come back"
        self._holds.begin(endpoint_id, hold_s, lambda: self.remove(endpoint_id, reason))

    def remove(self, endpoint_id: str, reason: str, source: str = STORE) -> None:
        """Removes an endpoint at once; it gets no further requests.

        :param source: ``store``, or the name of the instance from which it is known.
        """
        was_held = self._holds.end(endpoint_id)
        self._positions.forget(endpoint_id)
        endpoint = self._registry.remove(endpoint_id)
        if endpoint is None:
            return
        self._has_changed = self._has_changed or not was_held
        self._outdated.record_removed(endpoint)
        log(ENDPOINT_GONE, endpoint=endpoint_id, reason=reason, source=source)
        self._app.events.emit(ENDPOINT_CHANGED, endpoint)
