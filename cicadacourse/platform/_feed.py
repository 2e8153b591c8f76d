"""Fills the catalogue and the fleet from the store."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Sequence

from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.feed import ReadDelegation, RegistryFeed, TableFeed
from cicadacourse.logs import CONFIGURATION_REFUSED, ENDPOINT_ENTRY_REFUSED, log
from cicadacourse.platform._desired_state import decode_configuration
from cicadacourse.platform._follower import TopicFollower, TopicListener
from cicadacourse.platform._names import (
    KEY_CONFIGURATION,
    TOPIC_CONFIGURATION,
    TOPIC_ENDPOINTS,
)
from cicadacourse.platform._records import KeyedRecord
from cicadacourse.platform._registry import decode_endpoint
from cicadacourse.platform._settings import StoreSettings
from cicadacourse.platform._store import Store


class ConfigurationListener(TopicListener):
    """Puts newer versions in force and keeps the newest one's bytes.

    :ivar value: the bytes of the version in force, for instances that can't read it.
    """

    def __init__(self, keeper: CatalogService) -> None:
        self._keeper = keeper
        self.value: bytes | None = None

    def on_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        """Takes the newest configuration."""
        self.on_records(records)

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Takes configurations in the order in which they were written."""
        for record in records:
            if record.key == KEY_CONFIGURATION and record.value is not None:
                self.take(record.value, "store")

    def take(self, value: bytes, source: str) -> None:
        """Takes one version, from the store or from another instance."""
        match decode_configuration(value):
            case Failure(error):
                log(CONFIGURATION_REFUSED, reason=error.detail)
            case Success(catalog):
                if self._keeper.apply_if_newer(catalog, source):
                    self.value = value


class RegistryListener(TopicListener):
    """Decodes the registry's entries for the fleet."""

    def __init__(self, fleet: RegistryFeed) -> None:
        self._fleet = fleet

    def on_regained(self) -> None:
        """Starts the time in which vanished entries are still believed."""
        self._fleet.record_store_recovered()

    def on_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        """Takes every entry and drops what is no longer listed."""
        self._fleet.keep_only({record.key for record in records})
        self.on_records(records)
        self._fleet.record_full_read()

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Takes entries in the order in which they were written."""
        for record in records:
            if record.value is None:
                self._fleet.remove_after_hold(record.key)
            else:
                self._take(record.key, record.value)

    def on_read(self, end: int) -> None:
        """Notes that the registry was read up to an offset."""
        self._fleet.record_read(end)

    def _take(self, endpoint_id: str, value: bytes) -> None:
        match decode_endpoint(endpoint_id, value):
            case Failure(error):
                log(ENDPOINT_ENTRY_REFUSED, reason=error.detail)
                self._fleet.remove(endpoint_id, "its entry can't be read")
            case Success(endpoint):
                self._fleet.put(endpoint)


@SERVICES.register("feed")
class Feed(TableFeed):
    """Follows the configuration and the registry, one task for each."""

    name = "feed"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        settings = app.settings.get(StoreSettings)
        keeper: CatalogService = app.get("catalog")
        store: Store = app.get("store")
        self.read_delegation = ReadDelegation(settings.delegate_age_s)
        self._configuration = ConfigurationListener(keeper)
        self._fleet = RegistryFeed(app, keeper, settings.lapse_hold_s)
        self._configuration_follower = TopicFollower(
            store,
            TOPIC_CONFIGURATION,
            self._configuration,
            app.metrics,
            wait_s=settings.configuration_wait_s,
            is_wanted=self.is_store_reader,
        )
        self._registry_follower = TopicFollower(
            store,
            TOPIC_ENDPOINTS,
            RegistryListener(self._fleet),
            app.metrics,
            wait_s=settings.endpoints_wait_s,
            pause_s=settings.endpoints_pause_s,
            is_wanted=self.is_store_reader,
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Follows both topics while the instance runs."""
        followers = (self._configuration_follower, self._registry_follower)
        tasks = [asyncio.create_task(follower.run()) for follower in followers]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def configuration(self) -> bytes | None:
        """The bytes of the version in force, None if there is none."""
        return self._configuration.value

    def apply_configuration(self, value: bytes, source: str) -> None:
        """Takes a version as another instance knows it."""
        self._configuration.take(value, source)

    def apply_registry(self, endpoints: Sequence[Endpoint], offset: int) -> None:
        """Takes all endpoints as another instance knows them."""
        self._fleet.replace_all(endpoints, offset)
        self._registry_follower.go_on_from(offset)
