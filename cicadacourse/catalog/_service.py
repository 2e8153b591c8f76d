"""Holds the catalogue in force; an older version never replaces a newer one."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog._cold import ColdEndpoints
from cicadacourse.catalog._entry_positions import EntryPositions
from cicadacourse.catalog._evacuations import Evacuation, Evacuations
from cicadacourse.catalog._freshness import NEVER, ConfigurationFreshness
from cicadacourse.catalog._model import Catalog
from cicadacourse.catalog._registry import EndpointRegistry
from cicadacourse.catalog._settings import CatalogSettings
from cicadacourse.events import (
    CATALOG_CHANGED,
    CATALOG_CONFIRMED,
    CATALOG_VERSION_RECEIVED,
    EVACUATIONS_CHANGED,
)
from cicadacourse.logs import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_SUPERSEDED,
    DOMAIN_EVACUATED,
    EVACUATION_WITHDRAWN,
    log,
)
from cicadacourse.metrics import declare
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now, time_to_tick

TICK_PERIOD_S = 0.25
VERSION = declare("catalog_version", "Version of the configuration in force.")
EVACUATED = declare(
    "evacuated_failure_domains", "1 while a failure domain is evacuated, by domain."
)


@SERVICES.register("catalog")
class CatalogService(Service):
    """Holds the catalogue and the registry; the platform's adapter updates both.

    :ivar catalog: the newest version received, or None before the first.
    :ivar freshness: how recent the evidence is that it is the newest one.
    :ivar registry: the registered endpoints.
    :ivar cold: the endpoints that bear few requests for now.
    :ivar evacuations: the failure domains that get no requests.
    :ivar entry_positions: from which position in the store's log entries are known.
    :ivar held_ids: endpoints that this instance uses although they have no entry.
    :ivar registry_offset: the offset in the registry's log as of its last change.
    :ivar registry_read_at: when this instance last read the registry itself, loop time
        in seconds.
    :ivar in_force_since: when the version came into force, loop time in seconds.
    """

    name = "catalog"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.catalog: Catalog | None = None
        settings = app.settings.get(CatalogSettings)
        self.freshness = ConfigurationFreshness(settings.superseded_bound_s)
        self._follows_evacuations = settings.follows_evacuations
        self.registry = EndpointRegistry()
        self.cold = ColdEndpoints(self.registry)
        self.evacuations = Evacuations(self._evacuation_changed)
        self.entry_positions = EntryPositions()
        self.held_ids: set[str] = set()
        self.registry_offset = 0
        self.registry_read_at = NEVER
        self.in_force_since = 0.0
        self._is_registry_known = False
        self._both_known = asyncio.Event()
        app.events.connect(CATALOG_VERSION_RECEIVED, self._hear_of)
        app.events.connect(CATALOG_CONFIRMED, self._confirm)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Watches for stalls of the process while the instance runs."""
        tasks = Tasks(self.app.metrics, "catalog")
        tasks.keep("tick", self._tick)
        try:
            yield
        finally:
            await tasks.cancel()

    async def _tick(self) -> None:
        while True:
            self.freshness.tick(now())
            await asyncio.sleep(time_to_tick(TICK_PERIOD_S))

    @property
    def is_known(self) -> bool:
        """Whether a configuration and the registry are known.

        Where evacuations are followed, they have to be known as well.
        """
        return self._both_known.is_set()

    @property
    def is_registry_known(self) -> bool:
        """Whether the registry was completely read or fetched since the start."""
        return self._is_registry_known

    async def wait_until_known(self, timeout_s: float) -> bool:
        """Waits for the first configuration and registry; returns whether both came."""
        if not self.is_known:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._both_known.wait()
        return self.is_known

    def mark_registry_known(self) -> None:
        """Records that the registry was completely read or fetched."""
        self._is_registry_known = True
        self._update_known()

    def mark_evacuations_known(self) -> None:
        """Records that the requests to evacuate failure domains were read."""
        self.evacuations.is_known = True
        self._update_known()

    def _update_known(self) -> None:
        if self._follows_evacuations and not self.evacuations.is_known:
            return
        if self.catalog is not None and self._is_registry_known:
            self._both_known.set()

    def _evacuation_changed(self, evacuation: Evacuation, source: str) -> None:
        """Logs that a failure domain is evacuated, or that it no longer is."""
        is_in_force = evacuation.is_in_force
        log(
            DOMAIN_EVACUATED if is_in_force else EVACUATION_WITHDRAWN,
            failure_domain=evacuation.failure_domain,
            position=evacuation.position,
            source=source,
        )
        domain = evacuation.failure_domain
        self.app.metrics.set(EVACUATED, int(is_in_force), failure_domain=domain)
        self.app.events.emit(EVACUATIONS_CHANGED)

    def _hear_of(self, instance: str, version: int) -> None:
        """Records that another instance has a version in force."""
        if self.freshness.hear_of(version, now()):
            log(
                CONFIGURATION_SUPERSEDED,
                version=self.freshness.version,
                newer=version,
                source=instance,
            )

    def _confirm(self, version: int, age_s: float) -> None:
        """Records that no newer version existed some seconds ago."""
        self.freshness.confirm(version, now() - age_s, now())

    def apply_if_newer(self, catalog: Catalog, source: str) -> bool:
        """Puts a version in force if it is newer; returns whether it was.

        :param source: where the version came from, for the log.
        """
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        self.in_force_since = now()
        self.freshness.put_in_force(catalog.version, now())
        self.app.metrics.set(VERSION, catalog.version)
        log(
            CONFIGURATION_IN_FORCE,
            version=catalog.version,
            routes=len(catalog.routes),
            organisations=len(catalog.organisations or ()),
            source=source,
        )
        self._update_known()
        self.app.events.emit(CATALOG_CHANGED, catalog.version)
        return True
