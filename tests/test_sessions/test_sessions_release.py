"""Tests that engines get back the memory that nobody holds."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from bench.load import Fleet
from bench.load._fleet import POOL, FixedMembership
from cicadacourse.routing import Outcome, Work
from cicadacourse.sessions import HoldQuery, Sessions
from cicadacourse.sessions._judge import Orphaned, OrphanJudge

SETTLED_S = 30.0
PROMPT = "x" * 40_000


def make_work(name: str = "r", output: int = 4_000, tokens: int = 10_000) -> Work:
    return Work(name, 1, "o", POOL, tokens, output)


@pytest.fixture
def service_off(monkeypatch):
    """Switches the releases off and leaves everything else as it is."""

    async def check_nothing(self, endpoint):
        await asyncio.sleep(0)

    return lambda: monkeypatch.setattr(Sessions, "check", check_nothing)


def fleet_of(engines: int = 3) -> Fleet:
    return Fleet("default", engine_count=engines, instance_count=3)


async def begin(fleet: Fleet, index: int, state: str) -> asyncio.Task:
    """Brings a session of an instance into a state and leaves it there."""
    app = fleet.apps[index]
    work = make_work()
    deadline = asyncio.get_running_loop().time() + 500.0
    grant = (await app.get("routing").acquire(work, deadline)).unwrap()
    client = app.get("endpoint_client")
    name = app.get("membership").self_member().name

    async def read() -> None:
        endpoint, session = grant.endpoint, grant.session
        if state != "running":
            await client.reserve(endpoint, session, name, 20_000, 500.0, 2.0)
        if state == "reserved":
            return
        if state == "held":
            await client.prefill(endpoint, session, PROMPT, 0, 60.0)
            return
        async with client.generate(endpoint, grant, work, PROMPT, "", 500.0) as lines:
            async for _ in lines:
                pass

    task = asyncio.create_task(read())
    await asyncio.sleep(1.0)
    assert await fleet.kv_used() > 0
    return task


async def kv_used_after_loss(state: str) -> int:
    fleet = fleet_of()
    async with fleet.running():
        task = await begin(fleet, 0, state)
        fleet.lose("entry0")
        await asyncio.sleep(SETTLED_S)
        used = await fleet.kv_used()
        task.cancel()
    return used


@pytest.mark.looptime
@pytest.mark.parametrize("state", ["running", "reserved", "held"])
async def test_sessions_of_a_dead_owner_are_released(state):
    assert await kv_used_after_loss(state) == 0


@pytest.mark.looptime
@pytest.mark.parametrize("state", ["running", "reserved", "held"])
async def test_without_the_service_a_dead_owner_keeps_memory(state, service_off):
    service_off()
    assert await kv_used_after_loss(state) > 0


@pytest.mark.looptime
@pytest.mark.parametrize("state", ["running", "reserved", "held"])
async def test_sessions_of_a_live_owner_stay(state):
    fleet = fleet_of()
    async with fleet.running():
        task = await begin(fleet, 0, state)
        await asyncio.sleep(SETTLED_S)
        assert await fleet.kv_used() > 0
        task.cancel()


async def kv_used_while_frozen_and_after_death() -> tuple[int, int]:
    """Freezes an owner that is not the dispatcher of the only engine."""
    fleet = fleet_of(engines=1)
    async with fleet.running():
        membership = fleet.apps[0].get("membership")
        dispatcher = membership.owner("engine00").name
        index = (int(dispatcher.removeprefix("entry")) + 1) % 3
        owner = fleet.apps[index].get("membership").self_member()
        task = await begin(fleet, index, "running")
        fleet.network.freeze(owner.peer_address)
        await asyncio.sleep(SETTLED_S)
        while_frozen = await fleet.kv_used()
        fleet.lose(owner.name)
        await asyncio.sleep(SETTLED_S)
        after_death = await fleet.kv_used()
        fleet.network.thaw(owner.peer_address)
        task.cancel()
    return while_frozen, after_death


@pytest.mark.looptime
async def test_sessions_of_a_frozen_owner_stay_until_it_is_seen_as_dead(monkeypatch):
    while_frozen, after_death = await kv_used_while_frozen_and_after_death()
    assert while_frozen > 0 and after_death == 0

    async def condemn_the_silent(self, owner, names):
        member = self.app.get("membership").find(owner)
        address = member.peer_address if member else ""
        query = HoldQuery(sessions=tuple(names))
        answer = await self.app.get("peers").call(address, query, 2.0)
        held = answer.map(lambda reply: reply.held).value_or(())
        return dict.fromkeys(set(names).difference(held), Orphaned.NOT_HELD)

    monkeypatch.setattr(OrphanJudge, "_judge_owner", condemn_the_silent)
    while_frozen, _ = await kv_used_while_frozen_and_after_death()
    assert while_frozen == 0


async def kv_used_of_an_owner_never_heard_of(monkeypatch) -> int:
    find = FixedMembership.find
    monkeypatch.setattr(
        FixedMembership,
        "find",
        lambda self, name: None if name == "entry0" else find(self, name),
    )
    fleet = fleet_of()
    async with fleet.running():
        task = await begin(fleet, 0, "running")
        await asyncio.sleep(SETTLED_S)
        used = await fleet.kv_used()
        task.cancel()
    return used


@pytest.mark.looptime
async def test_an_owner_that_membership_never_heard_of_keeps_its_sessions(monkeypatch):
    assert await kv_used_of_an_owner_never_heard_of(monkeypatch) > 0

    async def condemn_the_unknown(self, owner, names):
        known = self.app.get("membership").find(owner)
        return {} if known else dict.fromkeys(names, Orphaned.OWNER_GONE)

    monkeypatch.setattr(OrphanJudge, "_judge_owner", condemn_the_unknown)
    assert await kv_used_of_an_owner_never_heard_of(monkeypatch) == 0


@pytest.mark.looptime
async def test_an_owner_that_started_anew_does_not_hold_its_old_sessions():
    fleet = fleet_of()
    async with fleet.running():
        task = await begin(fleet, 0, "running")
        fleet.apps[0].get("sessions")._held.clear()
        await asyncio.sleep(SETTLED_S)
        assert await fleet.kv_used() == 0
        task.cancel()


@pytest.mark.looptime
async def test_an_overdue_session_is_released_though_its_owner_holds_it():
    fleet = fleet_of()
    async with fleet.running():
        app = fleet.apps[0]
        endpoint = app.get("directory").endpoints(POOL)[0]
        app.get("sessions").hold("s")
        client = app.get("endpoint_client")
        await client.reserve(endpoint, "s", "entry0", 1_000, 500.0, 2.0)
        await client.prefill(endpoint, "s", "x" * 400, 0, 2.0)
        await asyncio.sleep(480.0)
        assert await fleet.kv_used() > 0
        await asyncio.sleep(20.0 + SETTLED_S)
        assert await fleet.kv_used() == 0


@pytest.mark.looptime
async def test_no_two_grants_share_a_session_name_so_a_release_hits_one():
    fleet = fleet_of()
    async with fleet.running():
        names = set()
        for round_number in range(40):
            app = fleet.apps[round_number % 3]
            loop = asyncio.get_running_loop()
            routing = app.get("routing")
            grant = (await routing.acquire(make_work(), loop.time() + 500)).unwrap()
            names.add(grant.session)
            routing.release(grant, Outcome.REFUSED)
            await asyncio.sleep(0.1)
        assert len(names) == 40


@pytest.mark.looptime
async def test_memory_returns_to_nothing_after_callers_leave_at_any_moment():
    fleet = fleet_of()
    async with fleet.running():
        tasks = [
            asyncio.create_task(serve(fleet, index, f"r{index}")) for index in range(30)
        ]
        for index, task in enumerate(tasks):
            await asyncio.sleep(0.07)
            if index % 2:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(SETTLED_S)
        assert await fleet.kv_used() == 0
        queues = [
            queue
            for app in fleet.apps
            for queue in app.get("routing").dispatcher._queues_by_endpoint.values()
        ]
        assert sum(queue.ledger.kv_tokens for queue in queues) == 0


async def serve(fleet: Fleet, index: int, name: str) -> None:
    app = fleet.apps[index % 3]
    routing = app.get("routing")
    work = make_work(name, output=50)
    deadline = asyncio.get_running_loop().time() + 100.0
    grant = (await routing.acquire(work, deadline)).unwrap()
    outcome = Outcome.ABANDONED
    try:
        with contextlib.suppress(Exception):
            client = app.get("endpoint_client")
            async with client.generate(
                grant.endpoint, grant, work, PROMPT, "", 100.0
            ) as lines:
                async for _ in lines:
                    pass
            outcome = Outcome.COMPLETE
    finally:
        routing.release(grant, outcome)
