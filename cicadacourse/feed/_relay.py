"""Passes the configuration and the registry on between instances.

An instance that the store refuses, or that lets its neighbours read, hears from others
that they know more, and fetches it from them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any, AsyncIterator, Coroutine

from returns.result import Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService, Endpoint, EndpointState
from cicadacourse.config import InstanceSettings
from cicadacourse.events import (
    CATALOG_CHANGED,
    CATALOG_VERSION_RECEIVED,
    REGISTRY_OFFSET_RECEIVED,
)
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.feed._source import TableFeed
from cicadacourse.load import (
    Configuration,
    EndpointRecord,
    FetchConfiguration,
    FetchRegistry,
    Registry,
)
from cicadacourse.logs import REGISTRY_FETCHED, log
from cicadacourse.membership import Member
from cicadacourse.peers import handles
from cicadacourse.util.clock import now

# The store tells an instance that reads by itself within this time, if it can.
FETCH_DELAY_S = 0.4
# Fetching from another failure domain is dear; a neighbour mostly knows by then.
FAR_FETCH_DELAY_S = 0.3
FETCH_TIMEOUT_S = 0.3
CONFIGURATION = "configuration"
REGISTRY = "registry"


@SERVICES.register("relay")
class Relay(Service):
    """Fetches from instances that are ahead, and gives out what is known here."""

    name = "relay"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._keeper: CatalogService = app.get("catalog")
        self._version_by_instance: dict[str, int] = {}
        self._task_by_subject: dict[str, asyncio.Task[None]] = {}
        app.events.connect(CATALOG_VERSION_RECEIVED, self._version_heard)
        app.events.connect(REGISTRY_OFFSET_RECEIVED, self._registry_heard)
        app.events.connect(CATALOG_CHANGED, self._configuration_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Ends fetches in progress when the instance stops."""
        try:
            yield
        finally:
            tasks = list(self._task_by_subject.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @handles(FetchConfiguration)
    async def on_fetch_configuration(self, _: FetchConfiguration) -> Configuration:
        """Answers with the configuration in force here."""
        return Configuration(value=self._feed.configuration or b"")

    @handles(FetchRegistry)
    async def on_fetch_registry(self, _: FetchRegistry) -> Registry:
        """Answers with all endpoints known here."""
        fleet = self._keeper.registry
        endpoints = tuple(_to_record(item) for item in fleet.all())
        return Registry(offset=self._keeper.registry_offset, endpoints=endpoints)

    def _version_heard(self, instance: str, version: int) -> None:
        self._version_by_instance[instance] = version
        if version > self._own_version():
            self._delegation.mark_behind(CONFIGURATION, now())
            self._start(CONFIGURATION, self._fetch_configuration(version))

    def _registry_heard(self, instance: str, offset: int, age_s: float) -> None:
        if not self._keeper.is_registry_known:
            self._first_heard(instance, offset, age_s)
            return
        if not self._is_neighbour(instance):
            return
        self._delegation.record_read(instance, age_s, now())
        if offset <= self._keeper.registry_offset:
            self._delegation.mark_caught_up(REGISTRY)
            return
        if not self._feed.is_store_reader():
            self._delegation.mark_behind(REGISTRY, now())
            self._start(REGISTRY, self._fetch_registry(instance))

    def _first_heard(self, instance: str, offset: int, age_s: float) -> None:
        """Takes a first registry from wherever it was read lately.

        The store may answer one instance and not yet this one; nothing can be served
        before, so that bytes between failure domains are not spared.
        """
        if offset and age_s <= self._delegation.max_age_s:
            self._start(REGISTRY, self._fetch_registry(instance))

    async def _fetch_configuration(self, version: int) -> None:
        """Fetches from a neighbour as soon as one knows it, else from further away."""
        if self._feed.is_store_reader():
            await asyncio.sleep(FETCH_DELAY_S)
        if not self._ahead(near_only=True):
            await asyncio.sleep(FAR_FETCH_DELAY_S)
        ahead = self._ahead(near_only=True) or self._ahead(near_only=False)
        random.shuffle(ahead)
        for source in ahead:
            if version <= self._own_version():
                return
            await self._fetch_configuration_from(source)

    async def _fetch_configuration_from(self, source: Member) -> None:
        request = FetchConfiguration(sender=self._own_name)
        match await self._call(source, request):
            case Success(Configuration(value=value)) if value:
                self._feed.apply_configuration(value, source.name)

    def _configuration_changed(self, version: int) -> None:
        if version >= max(self._version_by_instance.values(), default=0):
            self._delegation.mark_caught_up(CONFIGURATION)

    def _ahead(self, near_only: bool) -> list[Member]:
        """Returns the live instances that know a newer configuration."""
        own = self._own_version()
        known = self._version_by_instance
        return [
            member
            for member in self.app.get("membership").members()
            if known.get(member.name, 0) > own
            and (not near_only or self._is_neighbour(member.name))
        ]

    async def _fetch_registry(self, instance: str) -> None:
        member = self._find(instance)
        if member is None:
            return
        match await self._call(member, FetchRegistry(sender=self._own_name)):
            case Success(Registry(offset=offset, endpoints=records)):
                if offset <= self._keeper.registry_offset:
                    return
                log(REGISTRY_FETCHED, source=instance, offset=offset)
                endpoints = [_to_endpoint(record) for record in records]
                self._feed.apply_registry(endpoints, offset)

    async def _call(self, member: Member, request: Any) -> Any:
        peers = self.app.get("peers")
        return await peers.call(member.peer_address, request, FETCH_TIMEOUT_S)

    def _start(self, subject: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a fetch unless one of the same subject is in progress."""
        running = self._task_by_subject.get(subject)
        if running is not None and not running.done():
            coroutine.close()
            return
        self._task_by_subject[subject] = asyncio.create_task(coroutine)

    @property
    def _feed(self) -> TableFeed:
        return self.app.get("feed")

    @property
    def _delegation(self) -> ReadDelegation:
        return self._feed.read_delegation

    def _find(self, instance: str) -> Member | None:
        return self.app.get("membership").find(instance)

    def _is_neighbour(self, instance: str) -> bool:
        member = self._find(instance)
        own = self.app.get("membership").self_member()
        return member is not None and member.failure_domain == own.failure_domain

    def _own_version(self) -> int:
        catalog = self._keeper.catalog
        return catalog.version if catalog else 0


def _to_record(endpoint: Endpoint) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint.id,
        pool=endpoint.pool,
        address=endpoint.address,
        failure_domain=endpoint.failure_domain,
        slots=endpoint.slots,
        state=endpoint.state.value,
        started_ms=endpoint.started_ms or 0,
    )


def _to_endpoint(record: EndpointRecord) -> Endpoint:
    return Endpoint(
        id=record.id,
        pool=record.pool,
        address=record.address,
        failure_domain=record.failure_domain,
        slots=record.slots,
        state=EndpointState(record.state),
        started_ms=record.started_ms or None,
    )
