"""Emits how fresh the configurations and registries of other instances are."""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.events import (
    CATALOG_CONFIRMED,
    CATALOG_VERSION_RECEIVED,
    REGISTRY_OFFSET_RECEIVED,
)
from cicadacourse.load._datagram import UNKNOWN_AGE_MS, Datagram
from cicadacourse.util.clock import MS_PER_S, now


class FreshnessPublisher:
    """Emits events for what the reports of other instances say of their state."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._version_by_sender: dict[str, int] = {}
        self._last_confirmation = (0, 0.0)

    def publish(self, sender: str, datagram: Datagram, own_version: int) -> None:
        """Emits events that say how fresh a sender's configuration and registry are.

        A version that the sender has reported before is emitted again only while it is
        newer than the one here.
        """
        events = self._app.events
        version = datagram.catalog_version
        if version > own_version or version != self._version_by_sender.get(sender):
            self._version_by_sender[sender] = version
            events.emit(CATALOG_VERSION_RECEIVED, sender, version)
        self._publish_confirmation(datagram)
        age_s = datagram.store_age_ms / MS_PER_S
        events.emit(REGISTRY_OFFSET_RECEIVED, sender, datagram.registry_offset, age_s)

    def forget(self, name: str) -> None:
        """Forgets an instance that has left."""
        self._version_by_sender.pop(name, None)

    def _publish_confirmation(self, datagram: Datagram) -> None:
        """Emits that a version was the newest one, unless a later time is known.

        Most instances don't read the store, and repeat an old read of theirs.
        """
        if datagram.configuration_age_ms == UNKNOWN_AGE_MS:
            return
        age_s = datagram.configuration_age_ms / MS_PER_S
        confirmation = (datagram.catalog_version, now() - age_s)
        if confirmation > self._last_confirmation:
            self._last_confirmation = confirmation
            self._app.events.emit(CATALOG_CONFIRMED, datagram.catalog_version, age_s)
