"""Keeps the catalogue in force; it never goes back to an older version."""

from __future__ import annotations

import asyncio
import contextlib

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog._fleet import EndpointRegistry
from cicadacourse.catalog._model import Catalog
from cicadacourse.events import CATALOG_CHANGED
from cicadacourse.logs import CONFIGURATION_IN_FORCE, log
from cicadacourse.metrics import declare
from cicadacourse.util.clock import now

VERSION = declare("catalog_version", "Version of the configuration in force.")

NEVER = float("-inf")


@SERVICES.register("catalog")
class CatalogService(Service):
    """Holds the catalogue and the fleet; the adapter of the platform fills both.

    :ivar catalog: the newest version seen, or None before the first.
    :ivar registry: the registered endpoints.
    :ivar registry_offset: up to which the registry was read when it last changed.
    :ivar registry_read_at: when this instance last read the registry itself, loop time
        in seconds.
    :ivar in_force_since: when the version came into force, loop time in seconds.
    """

    name = "catalog"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.catalog: Catalog | None = None
        self.registry = EndpointRegistry()
        self.registry_offset = 0
        self.registry_read_at = NEVER
        self.in_force_since = 0.0
        self._fleet_known = False
        self._known = asyncio.Event()

    @property
    def is_known(self) -> bool:
        """Whether requests can be served at all."""
        return self._known.is_set()

    @property
    def is_registry_known(self) -> bool:
        """Whether the registry was read or fetched whole since the start."""
        return self._fleet_known

    async def wait_until_known(self, timeout_s: float) -> bool:
        """Waits for the first configuration and registry; returns if they came."""
        if not self.is_known:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._known.wait()
        return self.is_known

    def mark_registry_known(self) -> None:
        """Notes that the registry was read or fetched whole since the start."""
        self._fleet_known = True
        self._note_known()

    def _note_known(self) -> None:
        if self.catalog is not None and self._fleet_known:
            self._known.set()

    def apply_if_newer(self, catalog: Catalog, source: str) -> bool:
        """Puts a version in force if it is newer; returns whether it was.

        :param source: who told it, for the log.
        """
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        self.in_force_since = now()
        self.app.metrics.set(VERSION, catalog.version)
        log(
            CONFIGURATION_IN_FORCE,
            version=catalog.version,
            routes=len(catalog.routes),
            organisations=len(catalog.organisations),
            source=source,
        )
        self._note_known()
        self.app.events.emit(CATALOG_CHANGED, catalog.version)
        return True
