"""Tests of which of the configurations read from the store are put in force."""

from __future__ import annotations

import json

import pytest

from cicadacourse.catalog import CatalogService
from cicadacourse.feed import ConfigurationHistory
from cicadacourse.platform._configuration_reader import ConfigurationDecoder
from cicadacourse.platform._feed import ConfigurationListener
from cicadacourse.platform._names import KEY_CONFIGURATION
from cicadacourse.platform._records import KeyedRecord
from standins.platform import Fleet, make_configuration
from standins.ports import next_host
from tests.platform_fleet import make_instance


@pytest.fixture
async def catalog_service() -> CatalogService:
    """Returns the catalogue service of an instance that is not started."""
    fleet = Fleet(next_host())
    fleet.store_address = f"{fleet.host}:1"
    return make_instance(fleet, "one", next_host()).app.get("catalog")


@pytest.fixture
def decoded(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Returns the list of the values that are decoded."""
    values: list[bytes] = []
    decode = ConfigurationDecoder.decode

    def record(self: ConfigurationDecoder, value: bytes):
        values.append(value)
        return decode(self, value)

    monkeypatch.setattr(ConfigurationDecoder, "decode", record)
    return values


def value_of(version: int) -> bytes:
    """Returns a configuration."""
    return json.dumps(make_configuration(version)).encode()


def record_of(value: bytes | None, key: str = KEY_CONFIGURATION) -> KeyedRecord:
    """Returns the record that holds a configuration."""
    return KeyedRecord(key, value)


async def test_only_the_newest_of_several_versions_is_decoded(
    catalog_service: CatalogService, decoded: list[bytes]
) -> None:
    """Decoding those that are superseded blocked the event loop for their time."""
    listener = ConfigurationListener(catalog_service, ConfigurationHistory())
    listener.on_records([record_of(value_of(version)) for version in (2, 5, 6, 9)])
    assert catalog_service.catalog.version == 9
    assert decoded == [value_of(9)]


async def test_the_newest_version_that_can_be_decoded_is_put_in_force(
    catalog_service: CatalogService, decoded: list[bytes]
) -> None:
    history = ConfigurationHistory()
    listener = ConfigurationListener(catalog_service, history)
    values = [value_of(2), value_of(3), b"odd", None]
    records = [record_of(value) for value in values]
    listener.on_records([*records, record_of(value_of(9), "another key")])
    assert catalog_service.catalog.version == 3
    assert history.value == value_of(3)
    assert decoded == [b"odd", value_of(3)]


async def test_an_older_version_changes_nothing(
    catalog_service: CatalogService, decoded: list[bytes]
) -> None:
    history = ConfigurationHistory()
    listener = ConfigurationListener(catalog_service, history)
    for version in (4, 3):
        listener.on_records([record_of(value_of(version))])
    assert catalog_service.catalog.version == 4
    assert history.version == 4
