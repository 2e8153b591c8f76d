"""Which endpoints may get work: leaving, failing, listed wrongly."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from cicadacourse.endpoints import _directory
from cicadacourse.events import ENDPOINTS_CHANGED
from cicadacourse.util.clock import now
from standins.engine import EngineCore
from tests.entry_instance import POOLS, World, request_body, running_instance, serve


def names(app, pool="engines"):
    return [endpoint.name for endpoint in app.get("directory").endpoints(pool)]


@pytest.mark.looptime
async def test_endpoints_are_kept_through_an_outage_of_the_list():
    world = World.make(engines=3)
    async with running_instance(world) as app:
        assert names(app) == ["e0", "e1", "e2"]
        world.listed.faults.outage = True
        await asyncio.sleep(600)
        assert names(app) == ["e0", "e1", "e2"]
        world.listed.faults.silence = True
        await asyncio.sleep(600)
        assert names(app) == ["e0", "e1", "e2"]
        assert app.metrics.value(
            "instance_list_errors_total", reason="peer_unreachable"
        )


@pytest.mark.looptime
async def test_a_leaving_endpoint_gets_no_new_work_after_three_seconds():
    world = World.make(engines=2)
    async with running_instance(world) as app:
        world.listed.faults.lag_s = 1.9
        world.listed.mark_leaving("e0")
        await asyncio.sleep(3)
        before = world.engines["e0"].arrivals
        for _ in range(20):
            assert (await serve(app, request_body())).ended
        assert world.engines["e0"].arrivals == before


@pytest.mark.looptime
@pytest.mark.parametrize("hears", [True, False])
async def test_the_endpoints_own_word_goes_before_a_list_that_lags(hears, monkeypatch):
    if not hears:
        monkeypatch.setattr(_directory, "REASON_LEAVING", "unheard")
    world = World.make(engines=3)
    changes = []
    async with running_instance(world) as app:
        app.events.connect(ENDPOINTS_CHANGED, lambda: changes.append(now()))
        world.listed.faults.lag_s = 30
        world.listed.mark_leaving("e0")
        app.get("directory").record_failure("e0", "leaving")
        assert names(app) == (["e1", "e2"] if hears else ["e0", "e1", "e2"])
        await asyncio.sleep(20)
        assert names(app) == (["e1", "e2"] if hears else ["e0", "e1", "e2"])
        assert bool(changes) == hears
        await asyncio.sleep(60)
        assert names(app) == ["e1", "e2"]


@pytest.mark.looptime
@pytest.mark.parametrize("hears", [True, False])
async def test_one_refusal_for_leaving_ends_new_work_though_the_list_lags(
    hears, monkeypatch
):
    if not hears:
        monkeypatch.setattr(_directory, "REASON_LEAVING", "unheard")
    world = World.make(engines=2)
    refusals = 0
    refuse = EngineCore._check_new

    def count_refusals(core, *args):
        nonlocal refusals
        refusals += core.faults.leaving
        refuse(core, *args)

    monkeypatch.setattr(EngineCore, "_check_new", count_refusals)
    async with running_instance(world) as app:
        world.listed.faults.lag_s = 30
        world.engines["e0"].faults.leaving = True
        before = world.engines["e0"].arrivals
        ended = [(await serve(app, request_body())).ended for _ in range(20)]
        assert all(ended) == hears
        assert world.engines["e0"].arrivals == before
        assert "e0" not in names(app)
        assert (refusals <= 1) == hears


@pytest.mark.looptime
async def test_ejection_is_capped_and_backs_off():
    world = World.make(engines=6)
    async with running_instance(world) as app:
        directory = app.get("directory")
        for name in ("e0", "e1", "e2", "e3"):
            for _ in range(3):
                directory.record_failure(name, "endpoint_failed")
        # A cap of 0.34 lets two of six go.
        assert names(app) == ["e2", "e3", "e4", "e5"]
        assert app.metrics.value("ejections_capped_total", pool="engines") == 2
        await asyncio.sleep(1.3)
        assert len(names(app)) == 6
        directory.record_failure("e0", "endpoint_failed")
        assert "e0" not in names(app)
        await asyncio.sleep(1.3)
        assert "e0" not in names(app)
        await asyncio.sleep(1.3)
        directory.record_success("e0")
        directory.record_failure("e0", "endpoint_failed")
        assert "e0" in names(app)


@pytest.mark.looptime
@pytest.mark.parametrize("cap", [0.34, 1.0])
async def test_without_the_cap_a_bad_minute_would_empty_the_pool(cap):
    pool = attrs.evolve(POOLS["engines"], eject_cap=cap)
    world = World.make(engines=3)
    async with running_instance(world, pools={**POOLS, "engines": pool}) as app:
        for name in ("e0", "e1", "e2"):
            for _ in range(3):
                app.get("directory").record_failure(name, "endpoint_failed")
        assert len(names(app)) == (2 if cap < 1 else 0)


@pytest.mark.looptime
async def test_a_dead_endpoint_that_stays_listed_is_ejected():
    world = World.make(engines=2)
    world.engines["e0"].crash()
    async with running_instance(world) as app:
        for _ in range(12):
            assert (await serve(app, request_body())).ended
        assert app.metrics.value(
            "ejections_total", pool="engines", reason="endpoint_unreachable"
        )


@pytest.mark.looptime
async def test_an_endpoint_under_a_new_address_starts_afresh():
    world = World.make(engines=3)
    async with running_instance(world) as app:
        for _ in range(3):
            app.get("directory").record_failure("e0", "endpoint_failed")
        assert "e0" not in names(app)
        row = next(row for row in world.listed.rows() if row.name == "e0")
        world.listed.register(attrs.evolve(row, address="new"))
        await asyncio.sleep(1.1)
        assert app.get("directory").find("e0").address == "new"
        assert "e0" in names(app)
