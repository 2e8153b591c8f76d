"""Relays the configuration and the registry between instances.

An instance that can't read the store, or that leaves reading to its neighbours, learns
from load reports that others have newer ones and fetches these from them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any, AsyncIterator, Coroutine

from returns.result import Failure, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService
from cicadacourse.config import InstanceSettings
from cicadacourse.events import (
    CATALOG_CHANGED,
    CATALOG_VERSION_RECEIVED,
    REGISTRY_OFFSET_RECEIVED,
)
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.feed._delta import apply_delta
from cicadacourse.feed._history import NO_VERSION
from cicadacourse.feed._registry_codec import (
    RegistryEncoder,
    make_registry,
    read_endpoints,
)
from cicadacourse.feed._source import TableFeed
from cicadacourse.load import (
    Configuration,
    FetchConfiguration,
    FetchRegistry,
    Registry,
)
from cicadacourse.logs import FETCH_FAILED, REGISTRY_FETCHED, log
from cicadacourse.membership import Member
from cicadacourse.peers import handles
from cicadacourse.util.clock import now

# A store reader waits this long for a new version from the store before it fetches the
# version from another instance.
READER_FETCH_DELAY_S = 0.4
# Fetching from another failure domain is expensive; in most cases a neighbour has the
# new version after this delay.
CROSS_DOMAIN_FETCH_DELAY_S = 0.3
FETCH_TIMEOUT_S = 0.3
# The largest configuration that the store accepts, 262,144 bytes that can hardly be
# compressed, takes 0.42 s on a link of 10 Mbit/s that is half busy.
WHOLE_FETCH_TIMEOUT_S = 0.6
# The most bytes that cross such a link within ``FETCH_TIMEOUT_S``, with a reserve. An
# instance that holds a version waits no longer; a larger reply must be asked for.
MAX_UNASKED_WHOLE_BYTES = 131_072
# An instance that is behind asks others up to many times a second.
FAILURE_LOG_INTERVAL_S = 1.0
CONFIGURATION = "configuration"
REGISTRY = "registry"


@SERVICES.register("relay")
class Relay(Service):
    """Fetches newer configurations and registries, and serves this instance's."""

    name = "relay"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._catalog_service: CatalogService = app.get("catalog")
        self._version_by_instance: dict[str, int] = {}
        self._offset_by_instance: dict[str, int] = {}
        self._task_by_subject: dict[str, asyncio.Task[None]] = {}
        self._registry_encoder = RegistryEncoder()
        self._failure_logged_at: dict[tuple[str, str], float] = {}
        app.events.connect(CATALOG_VERSION_RECEIVED, self._version_received)
        app.events.connect(REGISTRY_OFFSET_RECEIVED, self._registry_offset_received)
        app.events.connect(CATALOG_CHANGED, self._configuration_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancels fetches in progress when the instance stops."""
        try:
            yield
        finally:
            tasks = list(self._task_by_subject.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @handles(FetchConfiguration)
    async def on_fetch_configuration(
        self, request: FetchConfiguration
    ) -> Configuration:
        """Returns what leads from the asking instance's version to the one in force."""
        history = self._feed.configuration_history
        version, offset = history.version, self._feed.configuration_offset
        value, delta, base_version = b"", b"", NO_VERSION
        if not request.takes_delta:
            value = history.value or b""
        elif request.version < version:
            base_version, delta = self._choose_delta(request.version)
        return Configuration(
            value=value,
            version=version,
            base_version=base_version,
            delta=delta,
            offset=offset,
        )

    def _choose_delta(self, held_version: int) -> tuple[int, bytes]:
        """Returns the base of a delta to the version in force, and the delta.

        The delta is empty if the whole version is so large that it must be asked for.
        """
        history = self._feed.configuration_history
        if (delta := history.delta(held_version)) is not None:
            return held_version, delta
        whole = history.delta(NO_VERSION) or b""
        return NO_VERSION, whole if len(whole) <= MAX_UNASKED_WHOLE_BYTES else b""

    @handles(FetchRegistry)
    async def on_fetch_registry(self, request: FetchRegistry) -> Registry:
        """Returns all endpoints that this instance knows."""
        endpoints = self._catalog_service.registry.all()
        offset = self._catalog_service.registry_offset
        if not request.takes_packed:
            return make_registry(endpoints, offset)
        return self._registry_encoder.encode(endpoints, offset)

    def _version_received(self, instance: str, version: int) -> None:
        self._version_by_instance[instance] = version
        if version > self._own_version():
            self._delegation.mark_behind(CONFIGURATION, now())
            self._start_fetch(CONFIGURATION, self._fetch_configuration(version))

    def _registry_offset_received(
        self, instance: str, offset: int, age_s: float
    ) -> None:
        if not self._catalog_service.is_registry_known:
            self._fetch_first_registry(instance, offset, age_s)
            return
        if not self._is_neighbour(instance):
            return
        self._delegation.record_read(instance, age_s, now())
        self._offset_by_instance[instance] = offset
        if offset <= self._catalog_service.registry_offset:
            is_behind = self._delegation.is_behind(REGISTRY)
            if is_behind and not self._is_neighbour_ahead():
                self._delegation.mark_caught_up(REGISTRY)
            return
        if not self._feed.is_store_reader():
            self._delegation.mark_behind(REGISTRY, now())
            self._start_fetch(REGISTRY, self._fetch_registry(instance))

    def _is_neighbour_ahead(self) -> bool:
        """Returns whether a live neighbour has a newer registry, as far as is known."""
        own = self._catalog_service.registry_offset
        return any(
            self._offset_by_instance.get(member.name, 0) > own
            for member in self.app.get("membership").members()
            if self._is_neighbour(member.name)
        )

    def _fetch_first_registry(self, instance: str, offset: int, age_s: float) -> None:
        """Fetches the first registry from any instance that read it lately.

        The store may answer another instance and not yet this one. This instance can
        serve nothing without a registry, so it also fetches across failure domains.
        """
        if offset and age_s <= self._delegation.max_age_s:
            self._start_fetch(REGISTRY, self._fetch_registry(instance))

    async def _fetch_configuration(self, version: int) -> None:
        """Fetches a version from a neighbour, else from another failure domain."""
        if self._feed.is_store_reader():
            await asyncio.sleep(READER_FETCH_DELAY_S)
        if not self._members_ahead(same_domain_only=True):
            await asyncio.sleep(CROSS_DOMAIN_FETCH_DELAY_S)
        ahead = self._members_ahead(same_domain_only=True) or self._members_ahead(
            same_domain_only=False
        )
        random.shuffle(ahead)
        for source in ahead:
            if version <= self._own_version():
                return
            await self._fetch_configuration_from(source)

    async def _fetch_configuration_from(self, source: Member) -> None:
        """Fetches what is new, or the whole version if that can't be applied."""
        for held_version in sorted({self._held_version(), NO_VERSION}, reverse=True):
            match await self._call_for_configuration(source, held_version):
                case Failure(error):
                    self._log_failure(CONFIGURATION, source.name, error.detail)
                    return
                case Success(reply) if self._is_outdated(reply):
                    return
                case Success(reply):
                    pass
            try:
                value = self._read_configuration(reply)
            except ValueError as error:
                self._log_failure(CONFIGURATION, source.name, str(error))
            else:
                self._feed.apply_configuration(value, source.name, reply.offset)
                return

    async def _call_for_configuration(self, source: Member, held_version: int) -> Any:
        request = FetchConfiguration(
            sender=self._own_name, version=held_version, takes_delta=True
        )
        is_whole = held_version == NO_VERSION
        timeout_s = WHOLE_FETCH_TIMEOUT_S if is_whole else FETCH_TIMEOUT_S
        return await self._call(source, request, timeout_s)

    def _held_version(self) -> int:
        return self._feed.configuration_history.version

    def _is_outdated(self, reply: Configuration) -> bool:
        """Returns whether a reply is of a version that is not newer than the own one.

        A reply without a version comes from an earlier release.
        """
        return NO_VERSION < reply.version <= self._own_version()

    def _read_configuration(self, reply: Configuration) -> bytes:
        """Returns the bytes of the version that a reply holds.

        :raises ValueError: if the reply has none, or a delta that can't be applied.
        """
        if reply.delta:
            base = self._feed.configuration_history.find(reply.base_version)
            if base is None:
                raise ValueError(f"version {reply.base_version} is no longer held")
            return apply_delta(base, reply.delta)
        if not reply.value:
            raise ValueError("the reply is empty")
        return reply.value

    def _configuration_changed(self, version: int) -> None:
        if version >= max(self._version_by_instance.values(), default=0):
            self._delegation.mark_caught_up(CONFIGURATION)

    def _members_ahead(self, same_domain_only: bool) -> list[Member]:
        """Returns the live members that have a newer configuration."""
        own = self._own_version()
        known = self._version_by_instance
        return [
            member
            for member in self.app.get("membership").members()
            if known.get(member.name, 0) > own
            and (not same_domain_only or self._is_neighbour(member.name))
        ]

    async def _fetch_registry(self, instance: str) -> None:
        member = self._find_member(instance)
        if member is None:
            return
        request = FetchRegistry(sender=self._own_name, takes_packed=True)
        match await self._call(member, request, FETCH_TIMEOUT_S):
            case Success(reply):
                self._apply_registry(reply, instance)
            case Failure(error):
                self._log_failure(REGISTRY, instance, error.detail)

    def _apply_registry(self, reply: Registry, source: str) -> None:
        if reply.offset <= self._catalog_service.registry_offset:
            return
        try:
            endpoints = read_endpoints(reply)
        except ValueError as error:
            self._log_failure(REGISTRY, source, str(error))
            return
        log(REGISTRY_FETCHED, source=source, offset=reply.offset)
        self._feed.apply_registry(endpoints, reply.offset)

    def _log_failure(self, subject: str, source: str, reason: str) -> None:
        logged_at = self._failure_logged_at.get((subject, source), float("-inf"))
        if now() - logged_at >= FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at[subject, source] = now()
            log(FETCH_FAILED, subject=subject, source=source, reason=reason)

    async def _call(self, member: Member, request: Any, timeout_s: float) -> Any:
        peers = self.app.get("peers")
        return await peers.call(member.peer_address, request, timeout_s)

    def _start_fetch(self, subject: str, coroutine: Coroutine[Any, Any, None]) -> None:
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

    def _find_member(self, instance: str) -> Member | None:
        return self.app.get("membership").find(instance)

    def _is_neighbour(self, instance: str) -> bool:
        member = self._find_member(instance)
        own = self.app.get("membership").self_member()
        return member is not None and member.failure_domain == own.failure_domain

    def _own_version(self) -> int:
        catalog = self._catalog_service.catalog
        return catalog.version if catalog else 0
