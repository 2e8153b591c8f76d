"""Fetches newer registries from other instances, and serves this instance's."""

from __future__ import annotations

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.catalog import ListedEndpoint, RegistryCopy
from cicadacourse.feed._fetcher import FETCH_TIMEOUT_S, Fetcher
from cicadacourse.feed._registry_codec import (
    RegistryEncoder,
    make_registry,
    read_registry,
)
from cicadacourse.load import FetchRegistry, Registry
from cicadacourse.logs import REGISTRY_FETCHED, log
from cicadacourse.util.clock import now

# Reports state ages in milliseconds, and take some of them to arrive.
READ_TIME_TOLERANCE_S = 0.05


class RegistryFetcher(Fetcher):
    """Fetches registries that other instances have read further, by their reports."""

    def __init__(self, app: Application) -> None:
        super().__init__(app, "registry")
        self._offset_by_instance: dict[str, int] = {}
        # The offset and the time of the last read that each instance has reported.
        self._known_by_instance: dict[str, tuple[int, float]] = {}
        self._encoder = RegistryEncoder()

    def make_reply(self, request: FetchRegistry) -> Registry:
        """Returns all endpoints that have an entry, as far as this instance knows."""
        catalog_service = self.catalog_service
        cold, positions = catalog_service.cold, catalog_service.entry_positions
        held_ids = frozenset(catalog_service.held_ids)
        listed = tuple(
            ListedEndpoint(item, cold.left_s(item), positions.find(item.id))
            for item in catalog_service.registry.all()
            if item.id not in held_ids
        )
        copy = RegistryCopy(listed, catalog_service.registry_offset, held_ids)
        if not request.takes_packed:
            return make_registry(copy)
        return self._encoder.encode(copy)

    def offset_received(self, instance: str, offset: int, age_s: float) -> None:
        """Fetches the registry of an instance that reported a newer one.

        :param offset: up to which that instance had read the registry.
        :param age_s: the age of its newest read of the store, in seconds.
        """
        if age_s <= self.delegation.max_age_s:
            self.delegation.note_read(now() - age_s)
        if not self.catalog_service.is_registry_known:
            self._fetch_first(instance, offset, age_s)
            return
        if self._is_known(instance, offset, age_s) or not self.is_neighbour(instance):
            return
        self.delegation.record_read(instance, age_s, now())
        self._offset_by_instance[instance] = offset
        if offset <= self.catalog_service.registry_offset:
            is_behind = self.delegation.is_behind(self.subject)
            if is_behind and not self._is_neighbour_ahead():
                self.delegation.mark_caught_up(self.subject)
            return
        if not self.feed.is_store_reader() or self.feed.is_registry_lost:
            self.delegation.mark_behind(self.subject, now())
            self.start(self._fetch(instance))

    def _is_known(self, instance: str, offset: int, age_s: float) -> bool:
        """Returns whether a report changes nothing here.

        Most instances don't read the store, and repeat the same with each report.
        """
        read_at = now() - age_s
        known = self._known_by_instance.get(instance)
        is_repeated = (
            known is not None
            and known[0] == offset
            and read_at < known[1] + READ_TIME_TOLERANCE_S
        )
        if not is_repeated:
            self._known_by_instance[instance] = (offset, read_at)
        is_current = offset <= self.catalog_service.registry_offset
        return (
            is_repeated and is_current and not self.delegation.is_behind(self.subject)
        )

    def _is_neighbour_ahead(self) -> bool:
        """Returns whether a live neighbour has a newer registry, as far as is known."""
        own = self.catalog_service.registry_offset
        return any(
            self._offset_by_instance.get(member.name, 0) > own
            for member in self.members()
            if self.is_neighbour(member.name)
        )

    def _fetch_first(self, instance: str, offset: int, age_s: float) -> None:
        """Fetches the first registry from any instance that read it lately.

        The store may answer another instance and not yet this one. This instance can
        serve nothing without a registry, so it also fetches across failure domains.
        """
        if offset and age_s <= self.delegation.max_age_s:
            self.start(self._fetch(instance))

    async def _fetch(self, instance: str) -> None:
        member = self.find_member(instance)
        if member is None:
            return
        request = FetchRegistry(sender=self.own_name, takes_packed=True)
        match await self.call(member, request, FETCH_TIMEOUT_S):
            case Success(reply):
                self._apply(reply, instance)
            case Failure(error):
                self.log_failure(instance, error.detail)

    def _apply(self, reply: Registry, source: str) -> None:
        if reply.offset <= self.catalog_service.registry_offset:
            return
        try:
            copy = read_registry(reply, source)
        except ValueError as error:
            self.log_failure(source, str(error))
            return
        log(REGISTRY_FETCHED, source=source, offset=reply.offset)
        self.feed.apply_registry(copy)
