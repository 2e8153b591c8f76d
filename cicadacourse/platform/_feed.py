"""Feeds the catalogue and the registry of endpoints from the store."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator, Sequence

import attrs
from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application
from cicadacourse.catalog import (
    CatalogService,
    CatalogSettings,
    ListedEndpoint,
    RegistryCopy,
)
from cicadacourse.events import RESUMED_AFTER_PAUSE
from cicadacourse.feed import (
    ConfigurationHistory,
    EvacuationFeed,
    ReadDelegation,
    RegistryFeed,
    TableFeed,
)
from cicadacourse.logs import CONFIGURATION_REFUSED, ENDPOINT_ENTRY_REFUSED, log
from cicadacourse.platform._configuration_reader import ConfigurationDecoder
from cicadacourse.platform._follower import TopicFollower, TopicListener
from cicadacourse.platform._names import (
    KEY_CONFIGURATION,
    TOPIC_CONFIGURATION,
    TOPIC_ENDPOINTS,
)
from cicadacourse.platform._operator_listener import OperatorListener
from cicadacourse.platform._positions import is_later_era
from cicadacourse.platform._records import KeyedRecord
from cicadacourse.platform._registry import decode_endpoint
from cicadacourse.platform._settings import StoreSettings
from cicadacourse.platform._store import Store
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

# Shares of the bound for superseded configurations. Reads of the configuration end at
# least this often, so that an instance knows that it has the newest one.
CONFIGURATION_LONG_POLL_SHARE = 0.35
# An instance whose evidence of that is older reads the configuration itself.
MAX_CONFIRMATION_AGE_SHARE = 0.65


class ConfigurationListener(TopicListener):
    """Puts newer configurations in force.

    :param history: receives the bytes of each, for instances that don't read the store.
    """

    def __init__(
        self, catalog_service: CatalogService, history: ConfigurationHistory
    ) -> None:
        self._catalog_service = catalog_service
        self._history = history
        self._is_newest_decoded = True
        self._decoder = ConfigurationDecoder()

    def on_snapshot(self, records: Sequence[KeyedRecord], end: int) -> None:
        """Applies the newest configuration."""
        self.on_records(records)

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Applies the newest configuration that can be decoded.

        Versions increase from record to record, and each replaces the one before it.
        """
        values = [
            record.value
            for record in reversed(records)
            if record.key == KEY_CONFIGURATION and record.value is not None
        ]
        for position, value in enumerate(values):
            is_decoded = self.apply(value, "store")
            if position == 0:
                self._is_newest_decoded = is_decoded
            if is_decoded:
                return

    def on_read(self, end: int, as_of: float) -> None:
        """Records that the version in force was the newest one.

        It is not if the newest one could not be decoded.
        An instance that reads the store for its neighbours reports it to them. Others
        don't: if all read at once, each would send a report to each.
        """
        if not self._is_newest_decoded or self._catalog_service.catalog is None:
            return
        self._catalog_service.freshness.record_read(as_of)
        app = self._catalog_service.app
        if app.get("feed").is_store_reader():
            app.get("load").notify_change()

    def apply(self, value: bytes, source: str) -> bool:
        """Decodes one version and puts it in force if it is newer.

        :param source: ``store``, or the name of the instance that sent it.
        :returns: whether it could be decoded.
        """
        match self._decoder.decode(value):
            case Failure(error):
                log(CONFIGURATION_REFUSED, reason=error.detail)
                return False
            case Success(catalog):
                if self._catalog_service.apply_if_newer(catalog, source):
                    self._history.put(catalog.version, value)
        return True


class RegistryListener(TopicListener):
    """Decodes the registry's entries and passes them to the registry feed."""

    def __init__(self, registry_feed: RegistryFeed) -> None:
        self._registry_feed = registry_feed

    def on_lost(self) -> None:
        """Records that reads of the registry have begun to fail."""
        self._registry_feed.record_store_lost()

    def on_recovered(self) -> None:
        """Starts the period in which endpoints without an entry are held."""
        self._registry_feed.record_store_recovered()

    def on_snapshot(self, records: Sequence[KeyedRecord], end: int) -> None:
        """Applies every entry; removes other endpoints, after the hold if one runs.

        An endpoint that it lists and that is unknown here was not removed, unless
        another instance has read further.
        """
        self._registry_feed.apply_snapshot({record.key for record in records}, end)
        is_newest = end >= self._registry_feed.known_until
        for record in records:
            self._apply(record, is_newest)
        self._registry_feed.record_full_read()

    def on_records(self, records: Sequence[KeyedRecord]) -> None:
        """Applies entries in the order in which they were written."""
        for record in records:
            self._apply(record, is_newest=False)
            self._registry_feed.record_applied(_end_of(record))

    def on_read(self, end: int, as_of: float) -> None:
        """Records up to which offset the registry was read."""
        self._registry_feed.record_read(end)

    def _apply(self, record: KeyedRecord, is_newest: bool) -> None:
        position = _end_of(record)
        if record.value is None:
            self._registry_feed.apply_removal(record.key, position)
            return
        match decode_endpoint(record.key, record.value):
            case Failure(error):
                log(ENDPOINT_ENTRY_REFUSED, reason=error.detail)
                self._registry_feed.apply_unreadable(record.key, position)
            case Success(ListedEndpoint() as listed):
                listed = attrs.evolve(listed, position=position)
                self._registry_feed.apply_entry(listed, is_newest=is_newest)


def _end_of(record: KeyedRecord) -> int:
    """Returns the position behind a record, up to which it is its key's newest one."""
    return record.position + 1


@SERVICES.register("feed")
class Feed(TableFeed):
    """Follows the configuration and the registry, one task for each."""

    name = "feed"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        settings = app.settings.get(StoreSettings)
        catalog_service: CatalogService = app.get("catalog")
        store: Store = app.get("store")
        self.read_delegation = ReadDelegation(settings.delegate_age_s)
        self._freshness = catalog_service.freshness
        self.configuration_history = ConfigurationHistory()
        self._configuration = ConfigurationListener(
            catalog_service, self.configuration_history
        )
        catalog_settings = app.settings.get(CatalogSettings)
        self._follows_evacuations = catalog_settings.follows_evacuations
        self._operator_bound_s = catalog_settings.operator_bound_s
        evacuations = EvacuationFeed(app) if self._follows_evacuations else None
        self._registry_feed = RegistryFeed(app, catalog_service, settings.lapse_hold_s)
        self._configuration_follower = TopicFollower(
            store,
            TOPIC_CONFIGURATION,
            OperatorListener(self._configuration, evacuations),
            app.metrics,
            wait_s=min(
                settings.configuration_wait_s,
                CONFIGURATION_LONG_POLL_SHARE * self._operator_bound_s,
            ),
            is_newest_sufficient=True,
            is_store_reader=self._is_configuration_reader,
        )
        self._registry_follower = TopicFollower(
            store,
            TOPIC_ENDPOINTS,
            RegistryListener(self._registry_feed),
            app.metrics,
            wait_s=settings.endpoints_wait_s,
            delay_s=settings.endpoints_pause_s,
            is_store_reader=self.is_store_reader,
        )
        if self._follows_evacuations:
            app.events.connect(
                RESUMED_AFTER_PAUSE, self._configuration_follower.refresh
            )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Follows both topics while the instance runs."""
        tasks = Tasks(self.app.metrics, "feed")
        tasks.keep("configuration", self._configuration_follower.run)
        tasks.keep("registry", self._registry_follower.run)
        try:
            yield
        finally:
            await tasks.cancel()

    def _is_configuration_reader(self) -> bool:
        """Returns whether this instance reads the configuration from the store now.

        It does if the neighbours that should read it have not confirmed it lately.
        """
        age_s = now() - self._freshness.confirmed_at
        max_age_s = MAX_CONFIRMATION_AGE_SHARE * self._operator_bound_s
        return age_s > max_age_s or self.is_store_reader()

    @property
    def configuration_offset(self) -> int:
        """The offset up to which the configuration was read, here or elsewhere."""
        return self._configuration_follower.offset or 0

    @property
    def is_registry_lost(self) -> bool:
        """Whether this instance's reads of the registry fail now."""
        return self._registry_follower.is_lost

    def apply_configuration(self, value: bytes, source: str, offset: int = 0) -> None:
        """Applies a version that was received from another instance."""
        if self._configuration.apply(value, source) and offset:
            self._configuration_follower.advance_to(offset)

    def apply_registry(self, copy: RegistryCopy) -> None:
        """Applies what another instance knows of the registry where it is newer.

        Instances that don't read the store learn from copies that it was restored.
        """
        known_position = self._registry_follower.offset
        if known_position is not None and is_later_era(copy.position, known_position):
            self._registry_feed.record_restored()
        self._registry_feed.merge(copy)
        self._registry_follower.advance_to(copy.position)
