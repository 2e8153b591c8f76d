"""Which endpoints are believed that the registry no longer lists."""

from __future__ import annotations

import pytest

from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.events import RESUMED_AFTER_PAUSE
from cicadacourse.feed import RegistryFeed
from standins.platform import Fleet
from standins.ports import next_host
from tests.platform_fleet import make_instance

ENDPOINT = Endpoint("e1", "engines", "10.0.0.1:1", "a", 8)
HOLD_S = 2.2


@pytest.fixture
async def keeper() -> CatalogService:
    """Returns the catalogue of an instance that does not run."""
    fleet = Fleet(next_host())
    fleet.store_address = f"{fleet.host}:1"
    return make_instance(fleet, "one", next_host()).app.get("catalog")


@pytest.fixture
async def feed(keeper: CatalogService) -> RegistryFeed:
    feed = RegistryFeed(keeper.app, keeper, HOLD_S)
    feed.put(ENDPOINT)
    return feed


async def test_an_entry_that_vanishes_is_dropped(
    feed: RegistryFeed, keeper: CatalogService
) -> None:
    feed.remove_after_hold(ENDPOINT.id)
    assert ENDPOINT.id not in keeper.registry


async def test_one_that_lapsed_while_the_store_was_away_is_believed_for_a_while(
    feed: RegistryFeed, keeper: CatalogService
) -> None:
    feed.record_store_recovered()
    feed.remove_after_hold(ENDPOINT.id)
    assert ENDPOINT.id in keeper.registry


async def test_one_that_vanished_while_the_instance_was_paused_is_dropped(
    feed: RegistryFeed, keeper: CatalogService
) -> None:
    """Replays a hunted day: the store had not been away, the instance had."""
    keeper.app.events.emit(RESUMED_AFTER_PAUSE)
    feed.record_store_recovered()
    feed.remove_after_hold(ENDPOINT.id)
    assert ENDPOINT.id not in keeper.registry
