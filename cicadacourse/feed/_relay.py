"""Relays the configuration and the registry between instances.

An instance that can't read the store, or that leaves reading to its neighbours, learns
from load reports that other instances have newer ones and fetches these from them.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.events import (
    CATALOG_CHANGED,
    CATALOG_VERSION_RECEIVED,
    REGISTRY_OFFSET_RECEIVED,
)
from cicadacourse.feed._configuration_fetcher import ConfigurationFetcher
from cicadacourse.feed._registry_fetcher import RegistryFetcher
from cicadacourse.load import (
    Configuration,
    FetchConfiguration,
    FetchRegistry,
    Registry,
)
from cicadacourse.peers import handles


@SERVICES.register("relay")
class Relay(Service):
    """Fetches newer configurations and registries, and serves this instance's."""

    name = "relay"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._configurations = ConfigurationFetcher(app)
        self._registries = RegistryFetcher(app)
        connect = app.events.connect
        connect(CATALOG_VERSION_RECEIVED, self._configurations.version_received)
        connect(REGISTRY_OFFSET_RECEIVED, self._registries.offset_received)
        connect(CATALOG_CHANGED, self._configurations.configuration_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancels fetches in progress when the instance stops."""
        try:
            yield
        finally:
            await asyncio.gather(self._configurations.stop(), self._registries.stop())

    @handles(FetchConfiguration)
    async def on_fetch_configuration(
        self, request: FetchConfiguration
    ) -> Configuration:
        """Returns what leads from the asking instance's version to the one in force."""
        return self._configurations.make_reply(request)

    @handles(FetchRegistry)
    async def on_fetch_registry(self, request: FetchRegistry) -> Registry:
        """Returns all endpoints that this instance knows."""
        return self._registries.make_reply(request)
