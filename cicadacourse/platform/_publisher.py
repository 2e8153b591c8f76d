"""Publishes the operators' tables as a new version of the stored configuration."""

from __future__ import annotations

from typing import Any, Mapping

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.catalog import Catalog
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.platform import _fields as fields
from cicadacourse.platform._configuration_reader import decode_configuration
from cicadacourse.platform._configuration_writer import encode_configuration
from cicadacourse.platform._names import (
    KEY_CONFIGURATION,
    KEY_EVACUATION_PREFIX,
    TOPIC_CONFIGURATION,
)
from cicadacourse.platform._records import KeyedBatch
from cicadacourse.platform._store import StoreClient


@attrs.frozen
class StoredConfiguration:
    """The configuration that the store holds.

    :param catalog: the decoded configuration; version 0 if there is none.
    :param raw: the configuration as it was read, with its unknown fields.
    :param end: the end offset of its topic, which grows with each write.
    """

    catalog: Catalog
    raw: Mapping[str, Any]
    end: int


@attrs.frozen
class PublishOutcome:
    """The outcome of an edit.

    :param version: the version in force now.
    :param has_changed: False if the same tables were in force already.
    """

    version: int
    has_changed: bool


class Publisher:
    """Reads and replaces the stored configuration; of concurrent edits one succeeds."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> Result[StoredConfiguration, Error]:
        """Returns the configuration that is stored now.

        :returns: a Failure if the store can't be read or the configuration is invalid.
        """
        match await self._store.read_newest(TOPIC_CONFIGURATION):
            case Success(KeyedBatch() as batch):
                pass
            case Failure() as failure:
                return failure
        values = {item.key: item.value for item in batch.records}
        return _decode(values.get(KEY_CONFIGURATION), batch.end)

    async def publish(
        self,
        catalog: Catalog,
        base_version: int | None,
        keeps_organisations: bool = False,
    ) -> Result[PublishOutcome, Error]:
        """Stores tables as the next version of the configuration.

        Publishing is idempotent: a retry of an edit whose response was lost finds its
        tables in force and changes nothing.

        :param base_version: the version that was edited, or None to replace whatever
            there is.
        :param keeps_organisations: whether organisations and limits stay as they are
            in the store.
        :returns: a Failure of kind ``VERSION_CONFLICT`` if another version is in force,
            ``STORE_OUTCOME_UNKNOWN`` if the edit may or may not have taken effect.
        """
        match await self.read():
            case Success(StoredConfiguration() as stored):
                pass
            case Failure() as failure:
                return failure
        in_force = stored.catalog.version
        edited = attrs.evolve(catalog, version=in_force)
        value = encode_configuration(edited, stored.raw, keeps_organisations)
        if in_force and decode_configuration(value) == Success(stored.catalog):
            return Success(PublishOutcome(in_force, has_changed=False))
        if base_version is not None and base_version != in_force:
            return Failure(_conflict(in_force))
        edited = attrs.evolve(catalog, version=in_force + 1)
        return await self._replace(stored, edited, keeps_organisations)

    async def evacuate(
        self, failure_domain: str, is_in_force: bool
    ) -> Result[None, Error]:
        """Has nothing more sent to a failure domain's endpoints, or takes that back.

        A retry of a call whose response was lost changes nothing.

        :returns: a Failure of kind ``STORE_OUTCOME_UNKNOWN`` if the call may or may not
            have taken effect.
        """
        key = f"{KEY_EVACUATION_PREFIX}{failure_domain}"
        value = b"{}" if is_in_force else b""
        return await self._store.put(TOPIC_CONFIGURATION, key, value)

    async def _replace(
        self,
        stored: StoredConfiguration,
        catalog: Catalog,
        keeps_organisations: bool = False,
    ) -> Result[PublishOutcome, Error]:
        value = encode_configuration(catalog, stored.raw, keeps_organisations)
        match await self._store.put(
            TOPIC_CONFIGURATION, KEY_CONFIGURATION, value, expected_end=stored.end
        ):
            case Failure(error) if error.kind is ErrorKind.VERSION_CONFLICT:
                return await self._read_conflict()
            case Failure() as failure:
                return failure
        return Success(PublishOutcome(catalog.version, has_changed=True))

    async def _read_conflict(self) -> Result[PublishOutcome, Error]:
        """Returns a conflict that names the version in force."""
        match await self.read():
            case Success(StoredConfiguration() as stored):
                pass
            case Failure() as failure:
                return failure
        return Failure(_conflict(stored.catalog.version))


def _conflict(version: int) -> Error:
    detail = f"version {version} is in force"
    return Error(ErrorKind.VERSION_CONFLICT, detail)


def _decode(value: bytes | None, end: int) -> Result[StoredConfiguration, Error]:
    if value is None:
        return Success(StoredConfiguration(Catalog(version=0), {}, end))
    match decode_configuration(value):
        case Success(Catalog() as catalog):
            pass
        case Failure() as failure:
            return failure
    return Success(StoredConfiguration(catalog, fields.parse_object(value), end))
