"""Fetches newer configurations from other instances, and serves this instance's."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogSettings, Evacuation
from cicadacourse.feed._delta import apply_delta
from cicadacourse.feed._fetcher import FETCH_TIMEOUT_S, Fetcher
from cicadacourse.feed._history import NO_VERSION
from cicadacourse.load import Configuration, EvacuationRecord, FetchConfiguration
from cicadacourse.membership import Member
from cicadacourse.util.clock import now

# A store reader waits this long for a new version from the store before it fetches the
# version from another instance.
READER_FETCH_DELAY_S = 0.4
# Fetching from another failure domain is expensive; in most cases a neighbour has the
# new version after this delay.
CROSS_DOMAIN_FETCH_DELAY_S = 0.3
# The largest configuration that the store accepts, 262,144 bytes that can hardly be
# compressed, takes 0.42 s on a link of 10 Mbit/s that is half busy.
WHOLE_FETCH_TIMEOUT_S = 0.6
# The most bytes that cross such a link within ``FETCH_TIMEOUT_S``, with a reserve. An
# instance that holds a version waits no longer; a larger reply must be asked for.
MAX_UNASKED_WHOLE_BYTES = 131_072


class ConfigurationFetcher(Fetcher):
    """Fetches configurations that other instances have, by their load reports."""

    def __init__(self, app: Application) -> None:
        super().__init__(app, "configuration")
        self._version_by_instance: dict[str, int] = {}
        self._evacuations = self.catalog_service.evacuations
        catalog_settings = app.settings.get(CatalogSettings)
        self._follows_evacuations = catalog_settings.follows_evacuations

    def make_reply(self, request: FetchConfiguration) -> Configuration:
        """Returns what leads from the asking instance's version to the one in force."""
        history = self.feed.configuration_history
        version, offset = history.version, self.feed.configuration_offset
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
            evacuations=tuple(
                EvacuationRecord(
                    failure_domain=item.failure_domain,
                    is_in_force=item.is_in_force,
                    position=item.position,
                )
                for item in self._evacuations.all
            ),
            knows_evacuations=self._evacuations.is_known,
        )

    def _choose_delta(self, held_version: int) -> tuple[int, bytes]:
        """Returns the base of a delta to the version in force, and the delta.

        The delta is empty if the whole version is so large that it must be asked for.
        """
        history = self.feed.configuration_history
        if (delta := history.delta(held_version)) is not None:
            return held_version, delta
        whole = history.delta(NO_VERSION) or b""
        return NO_VERSION, whole if len(whole) <= MAX_UNASKED_WHOLE_BYTES else b""

    def version_received(self, instance: str, version: int) -> None:
        """Fetches a version that an instance reported, if it is newer."""
        self._version_by_instance[instance] = version
        if version > self._own_version():
            self.delegation.mark_behind(self.subject, now())
            self.start(self._fetch(version))

    def configuration_changed(self, version: int) -> None:
        """Records that a version is in force."""
        if version >= max(self._version_by_instance.values(), default=0):
            self.delegation.mark_caught_up(self.subject)

    async def _fetch(self, version: int) -> None:
        """Fetches a version from a neighbour, else from another failure domain."""
        if self.feed.is_store_reader():
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
            await self._fetch_from(source)

    async def _fetch_from(self, source: Member) -> None:
        """Fetches what is new, or the whole version if that can't be applied."""
        for held_version in sorted({self._held_version(), NO_VERSION}, reverse=True):
            match await self._call_for(source, held_version):
                case Failure(error):
                    self.log_failure(source.name, error.detail)
                    return
                case Success(reply) if self._is_outdated(reply):
                    return
                case Success(reply):
                    pass
            try:
                value = self._read_configuration(reply)
            except ValueError as error:
                self.log_failure(source.name, str(error))
            else:
                self._apply_evacuations(reply, source.name)
                offset = self._offset_to_read_from(reply)
                self.feed.apply_configuration(value, source.name, offset)
                return

    def _apply_evacuations(self, reply: Configuration, source: str) -> None:
        """Applies what a source knows of failure domains, before its configuration."""
        for item in reply.evacuations:
            evacuation = Evacuation(
                item.failure_domain, item.is_in_force, item.position
            )
            self._evacuations.apply(evacuation, source)
        if reply.knows_evacuations:
            self.catalog_service.mark_evacuations_known()

    def _offset_to_read_from(self, reply: Configuration) -> int:
        """Returns the offset before which this instance needs to read no record.

        Records before the source's offset may be requests to evacuate a failure domain
        that the source has not read, as one of an earlier release.
        """
        if self._follows_evacuations and not reply.knows_evacuations:
            return 0
        return reply.offset

    async def _call_for(self, source: Member, held_version: int) -> Any:
        request = FetchConfiguration(
            sender=self.own_name, version=held_version, takes_delta=True
        )
        is_whole = held_version == NO_VERSION
        timeout_s = WHOLE_FETCH_TIMEOUT_S if is_whole else FETCH_TIMEOUT_S
        return await self.call(source, request, timeout_s)

    def _held_version(self) -> int:
        return self.feed.configuration_history.version

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
            base = self.feed.configuration_history.find(reply.base_version)
            if base is None:
                raise ValueError(f"version {reply.base_version} is no longer held")
            return apply_delta(base, reply.delta)
        if not reply.value:
            raise ValueError("the reply is empty")
        return reply.value

    def _members_ahead(self, same_domain_only: bool) -> list[Member]:
        """Returns the live members that have a newer configuration."""
        own = self._own_version()
        known = self._version_by_instance
        return [
            member
            for member in self.members()
            if known.get(member.name, 0) > own
            and (not same_domain_only or self.is_neighbour(member.name))
        ]

    def _own_version(self) -> int:
        catalog = self.catalog_service.catalog
        return catalog.version if catalog else 0
