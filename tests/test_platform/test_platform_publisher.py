"""Of racing operators one wins, and a lost answer is settled by a repeat."""

from __future__ import annotations

import contextlib
import json
from typing import AsyncIterator

import attrs
import pytest
from hypothesis import given

from cicadacourse.errors import ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform import Publisher, StoreClient, StoreSettings
from cicadacourse.platform._configuration_writer import encode_configuration
from cicadacourse.platform._desired_state import decode_configuration
from standins.platform import Fleet, StoreFaults, make_configuration
from standins.ports import next_host
from tests.test_tables.test_tables_parser import catalogs, parse

CATALOG = parse().unwrap()
OTHER = attrs.evolve(CATALOG, routes=CATALOG.routes[:1])


@contextlib.asynccontextmanager
async def running_publisher(
    by_operators: bool = True,
) -> AsyncIterator[tuple[Fleet, Publisher]]:
    """Runs a store and a publisher that reaches it."""
    fleet = Fleet(next_host())
    async with fleet.running():
        address = fleet.operators_address if by_operators else fleet.store_address
        settings = StoreSettings(address=address, timeout_s=1.0)
        with contextlib.closing(StoreClient(settings, Metrics())) as store:
            yield fleet, Publisher(store)


async def in_force(publisher: Publisher):
    """Returns the catalogue that the store holds."""
    return (await publisher.read()).unwrap().catalog


async def test_tables_are_in_force_once_accepted_and_an_edit_makes_a_new_version() -> (
    None
):
    async with running_publisher() as (_, publisher):
        first = (await publisher.publish(CATALOG, base_version=0)).unwrap()
        assert (first.version, first.has_changed) == (1, True)
        assert await in_force(publisher) == attrs.evolve(CATALOG, version=1)
        second = (await publisher.publish(OTHER, base_version=1)).unwrap()
        assert second.version == 2
        assert await in_force(publisher) == attrs.evolve(OTHER, version=2)


async def test_an_edit_of_an_older_version_changes_nothing_and_names_the_newer() -> (
    None
):
    async with running_publisher() as (_, publisher):
        await publisher.publish(CATALOG, base_version=0)
        error = (await publisher.publish(OTHER, base_version=0)).failure()
        assert error.kind is ErrorKind.VERSION_CONFLICT
        assert "version 1" in error.detail
        assert await in_force(publisher) == attrs.evolve(CATALOG, version=1)


async def test_of_two_operators_who_write_at_once_one_wins_and_the_other_hears_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_publisher() as (_, publisher):
        replace = publisher._replace

        async def after_a_rival(stored, catalog):
            monkeypatch.undo()
            await publisher.publish(OTHER, base_version=0)
            return await replace(stored, catalog)

        monkeypatch.setattr(publisher, "_replace", after_a_rival)
        error = (await publisher.publish(CATALOG, base_version=0)).failure()
        assert error.kind is ErrorKind.VERSION_CONFLICT
        assert await in_force(publisher) == attrs.evolve(OTHER, version=1)


async def test_naively_writing_without_the_expected_end_both_would_win(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_publisher() as (_, publisher):
        put = publisher._store.put

        async def put_over_anything(topic, key, value, expected_end):
            return await put(topic, key, value)

        monkeypatch.setattr(publisher._store, "put", put_over_anything)
        stored = (await publisher.read()).unwrap()
        for catalog in (OTHER, CATALOG):
            edit = attrs.evolve(catalog, version=1)
            assert (await publisher._replace(stored, edit)).unwrap().version == 1


async def test_a_repeat_of_an_edit_whose_answer_was_lost_changes_nothing() -> None:
    async with running_publisher() as (fleet, publisher):
        fleet.store.faults = StoreFaults(lost_answers=1.0)
        error = (await publisher.publish(CATALOG, base_version=0)).failure()
        assert error.kind is ErrorKind.STORE_OUTCOME_UNKNOWN
        fleet.store.faults = StoreFaults()
        published = (await publisher.publish(CATALOG, base_version=0)).unwrap()
        assert (published.version, published.has_changed) == (1, False)


async def test_a_store_that_is_away_takes_nothing() -> None:
    async with running_publisher() as (fleet, publisher):
        fleet.store.faults = StoreFaults(down="busy")
        error = (await publisher.publish(CATALOG, base_version=0)).failure()
        assert error.kind is ErrorKind.STORE_UNAVAILABLE
        fleet.store.faults = StoreFaults()
        assert (await in_force(publisher)).version == 0


async def test_from_where_only_the_system_may_write_it_is_forbidden() -> None:
    async with running_publisher(by_operators=False) as (_, publisher):
        error = (await publisher.publish(CATALOG, base_version=0)).failure()
        assert error.kind is ErrorKind.FORBIDDEN


async def test_fields_that_the_project_does_not_know_are_kept() -> None:
    async with running_publisher() as (fleet, publisher):
        configuration = make_configuration()
        configuration["services"][0]["engine"]["usual"] = {"prompt": 5}
        configuration["routes"][0]["sticky"] = True
        configuration["colour"] = "green"
        fleet.configure(configuration)
        catalog = await in_force(publisher)
        edit = attrs.evolve(catalog, organisations=())
        assert (await publisher.publish(edit, base_version=1)).unwrap().version == 2
        raw = (await publisher.read()).unwrap().raw
        assert raw["colour"] == "green"
        assert raw["routes"][0]["sticky"] is True
        assert raw["services"][0]["engine"]["usual"] == {"prompt": 5}
        assert raw["tenants"] == []


@given(catalogs())
def test_any_catalogue_is_the_same_after_its_way_over_the_wire(catalog) -> None:
    wire = encode_configuration(catalog, previous={})
    assert decode_configuration(wire).unwrap() == catalog


@given(catalogs(), catalogs())
def test_nothing_of_the_former_tables_shines_through(previous, catalog) -> None:
    wire = json.loads(encode_configuration(previous, previous={}))
    assert decode_configuration(encode_configuration(catalog, wire)).unwrap() == catalog
