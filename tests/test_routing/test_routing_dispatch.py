"""Tests of grants between instances: loss, succession and silence."""

from __future__ import annotations

import asyncio

import pytest

from bench.load import Fleet
from bench.load._arrivals import Arrival
from bench.load._fleet import POOL
from bench.load._results import Fate
from bench.load._run import _send
from cicadacourse.errors import ErrorKind
from cicadacourse.routing import Grant, Outcome, Work
from cicadacourse.routing._dispatcher import Dispatcher
from cicadacourse.routing._messages import GrantRequest

PROMPT = "x" * 400_000


def make_work(name: str, tokens: int = 100_000, output: int = 20_000) -> Work:
    return Work(name, 1, "o", POOL, tokens, output)


def deadline(seconds: float = 900.0) -> float:
    return asyncio.get_running_loop().time() + seconds


async def acquire(fleet: Fleet, index: int, work: Work) -> Grant:
    routing = fleet.apps[index].get("routing")
    return (await routing.acquire(work, deadline())).unwrap()


async def generate(fleet: Fleet, index: int, grant: Grant, work: Work) -> None:
    client = fleet.apps[index].get("endpoint_client")
    async with client.generate(grant.endpoint, grant, work, PROMPT, "", 900.0) as lines:
        async for _ in lines:
            pass


def owner_of(fleet: Fleet, endpoint_name: str) -> str:
    return fleet.apps[0].get("membership").owner(endpoint_name).name


@pytest.mark.looptime
async def test_a_request_repeated_over_the_network_gets_the_same_grant():
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        owner = owner_of(fleet, "engine00")
        member = fleet.apps[0].get("membership").find(owner)
        asking = next(
            app
            for app in fleet.apps
            if app.get("membership").self_member().name != owner
        )
        request = GrantRequest(
            work=make_work("r"), endpoint="engine00", holder="h", time_left_s=900.0
        )
        peers = asking.get("peers")
        first = await peers.call(member.peer_address, request, 2.0)
        second = await peers.call(member.peer_address, request, 2.0)
        assert first.unwrap().session == second.unwrap().session != ""


async def open_without_list(self, endpoint, queue):
    """Opens a dispatcher's queue without the engine's list of sessions."""
    self._queues_by_endpoint[endpoint.name] = queue
    self._changes_by_endpoint[endpoint.name] = asyncio.Event()
    self._spawn(self._serve(endpoint.name, queue))


async def refused_after_succession(fleet: Fleet) -> int:
    """Fills an engine, loses its dispatcher; counts what the engine then refuses."""
    async with fleet.running():
        owner = owner_of(fleet, "engine00")
        index = int(owner.removeprefix("entry"))
        others = [other for other in range(3) if other != index]
        tasks = []
        for number in range(2):
            work = make_work(f"before{number}")
            grant = await acquire(fleet, others[0], work)
            tasks.append(asyncio.create_task(generate(fleet, others[0], grant, work)))
            await asyncio.sleep(6.0)
        fleet.lose(owner)
        refused = 0
        for number in range(3):
            work = make_work(f"after{number}", tokens=200_000, output=100)
            routing = fleet.apps[others[1]].get("routing")
            acquired = await routing.acquire(work, deadline(20.0))
            grant = acquired.value_or(None)
            if grant is not None:
                refused += 1
                routing.release(grant, Outcome.REFUSED)
        for task in tasks:
            task.cancel()
    return refused


@pytest.mark.looptime
async def test_a_successor_counts_what_its_predecessor_granted(monkeypatch):
    """Two sessions hold half of the engine, the share of long prompts."""
    fleet = Fleet("default", engine_count=1, instance_count=3)
    assert await refused_after_succession(fleet) == 0

    monkeypatch.setattr(Dispatcher, "_rebuild", open_without_list)
    fleet = Fleet("default", engine_count=1, instance_count=3)
    assert await refused_after_succession(fleet) > 0


@pytest.mark.looptime
async def test_without_a_dispatcher_the_engine_decides():
    fleet = Fleet("default", engine_count=2, instance_count=3)
    async with fleet.running():
        for member in fleet.apps[0].get("membership").members():
            if member.name != "entry0":
                fleet.network.freeze(member.peer_address)
        names = {f"engine{index:02}" for index in range(2)}
        assert any(owner_of(fleet, name) != "entry0" for name in names)
        grants = [
            await acquire(fleet, 0, make_work(f"r{number}", tokens=1_000))
            for number in range(6)
        ]
        assert len(grants) == 6
        for member in fleet.apps[0].get("membership").members():
            fleet.network.thaw(member.peer_address)


@pytest.mark.looptime
async def test_a_grant_that_is_never_used_lapses():
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        grant = await acquire(fleet, 0, make_work("r", tokens=200_000))
        fleet.lose("entry0" if grant.dispatcher != "entry0" else "entry1")
        dispatcher = next(
            app.get("routing").dispatcher
            for app in fleet.apps
            if app.get("routing").dispatcher._queues_by_endpoint
        )
        queue = dispatcher._queues_by_endpoint["engine00"]
        assert queue.ledger.kv_tokens > 0
        await asyncio.sleep(20.0)
        assert queue.ledger.kv_tokens == 0


@pytest.mark.looptime
async def test_a_deadline_that_can_not_be_met_is_refused_at_once():
    fleet = Fleet("default", engine_count=2, instance_count=3)
    async with fleet.running():
        asked_at = asyncio.get_running_loop().time()
        routing = fleet.apps[0].get("routing")
        refused = await routing.acquire(make_work("r", 1_000, 4_000), deadline(5.0))
        error = refused.failure()
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert error.retry_after_s > 0
        assert asyncio.get_running_loop().time() - asked_at < 1.0


@pytest.mark.looptime
async def test_a_caller_that_leaves_while_it_waits_takes_its_request_back():
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        grant = await acquire(fleet, 0, make_work("holder", tokens=350_000))
        assert grant.dispatcher
        work = make_work("waiter", tokens=200_000, output=100)
        waiting = asyncio.create_task(acquire(fleet, 1, work))
        await asyncio.sleep(2.0)
        queues = [
            queue
            for app in fleet.apps
            for queue in app.get("routing").dispatcher._queues_by_endpoint.values()
        ]
        assert sum(map(len, queues)) == 1
        waiting.cancel()
        await asyncio.sleep(1.0)
        assert sum(map(len, queues)) == 0


def see_only_oneself(app) -> None:
    membership = app.get("membership")
    membership.owner = lambda key: membership.self_member()


@pytest.mark.looptime
async def test_two_views_of_the_owner_cost_time_and_lose_nothing(monkeypatch):
    """Even without the engines' lists, their own admission is the guard."""
    monkeypatch.setattr(Dispatcher, "_rebuild", open_without_list)
    monkeypatch.setattr(Dispatcher, "reconcile", lambda *arguments: None)
    fleet = Fleet("default", engine_count=2, instance_count=3)
    async with fleet.running():
        for app in fleet.apps:
            see_only_oneself(app)
        arrivals = [
            Arrival(
                name=f"r{number}",
                at_s=number * 0.01,
                organisation="o",
                prompt_tokens=200_000,
                output_tokens=40,
                time_limit_s=600.0,
            )
            for number in range(18)
        ]
        results = await asyncio.gather(
            *(_send(fleet.apps[number % 3], one) for number, one in enumerate(arrivals))
        )
        assert {one.fate for one in results} == {Fate.COMPLETE}
        assert max(one.attempts for one in results) > 1
