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
from cicadacourse.routing import Grant, Outcome, Parts, Work, _dispatcher
from cicadacourse.routing._dispatch_client import DispatchClient
from cicadacourse.routing._dispatcher import Dispatcher
from cicadacourse.routing._ledger import Ledger
from cicadacourse.routing._messages import GrantRequest
from cicadacourse.routing._queue import EndpointQueue

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


async def sessions_for_two_requests() -> set[str]:
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        owner = owner_of(fleet, "engine00")
        address = fleet.apps[0].get("membership").find(owner).peer_address
        index = (int(owner.removeprefix("entry")) + 1) % 3
        peers = fleet.apps[index].get("peers")
        request = GrantRequest(
            work=make_work("r", tokens=1_000),
            endpoint="engine00",
            time_left_s=900.0,
        )
        replies = [await peers.call(address, request, 2.0) for _ in range(2)]
        return {reply.unwrap().session for reply in replies}


@pytest.mark.looptime
async def test_a_request_repeated_over_the_network_gets_the_same_grant(monkeypatch):
    assert len(await sessions_for_two_requests()) == 1
    monkeypatch.setattr(Ledger, "find", lambda self, key: None)
    assert len(await sessions_for_two_requests()) == 2


@pytest.mark.looptime
async def test_a_policy_of_a_newer_release_is_served_by_the_default():
    fleet = Fleet("of-a-newer-release", engine_count=2, instance_count=3)
    async with fleet.running():
        assert (await acquire(fleet, 0, make_work("r", tokens=1_000))).session


async def queues_long_after_a_load() -> int:
    """Grants and returns, waits, counts what is left; then asks once more."""
    fleet = Fleet("default", engine_count=4, instance_count=3)
    async with fleet.running():
        for number in range(8):
            work = make_work(f"r{number}", tokens=1_000, output=10)
            grant = await acquire(fleet, number % 3, work)
            fleet.apps[number % 3].get("routing").release(grant, Outcome.REFUSED)
        await asyncio.sleep(700.0)
        dispatchers = [app.get("routing").dispatcher for app in fleet.apps]
        left = sum(len(one._queues_by_endpoint) for one in dispatchers)
        assert await acquire(fleet, 0, make_work("late", tokens=1_000, output=10))
    return left


@pytest.mark.looptime
async def test_queues_out_of_use_are_dropped_and_opened_again(monkeypatch):
    assert await queues_long_after_a_load() == 0
    monkeypatch.setattr(_dispatcher, "IDLE_QUEUE_KEPT_S", float("inf"))
    assert await queues_long_after_a_load() > 0


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


def queues_of(fleet: Fleet) -> list[EndpointQueue]:
    return [
        queue
        for app in fleet.apps
        for queue in app.get("routing").dispatcher._queues_by_endpoint.values()
    ]


async def granted_after_holder_died() -> int:
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        grant = await acquire(fleet, 0, make_work("r", tokens=200_000))
        fleet.lose("entry0" if grant.dispatcher != "entry0" else "entry1")
        assert sum(queue.ledger.kv_tokens for queue in queues_of(fleet)) > 0
        await asyncio.sleep(20.0)
        return sum(queue.ledger.kv_tokens for queue in queues_of(fleet))


@pytest.mark.looptime
async def test_a_grant_that_is_never_used_lapses(monkeypatch):
    assert await granted_after_holder_died() == 0
    monkeypatch.setattr(Dispatcher, "reconcile", lambda *arguments: None)
    assert await granted_after_holder_died() > 0


@pytest.mark.looptime
async def test_a_deadline_that_can_not_be_met_is_refused_at_once():
    work = make_work("r", 1_000, 4_000)
    fleet = Fleet("default", engine_count=2, instance_count=3)
    async with fleet.running():
        asked_at = asyncio.get_running_loop().time()
        routing = fleet.apps[0].get("routing")
        error = (await routing.acquire(work, deadline(5.0))).failure()
        assert error.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert error.retry_after_s > 0
        assert asyncio.get_running_loop().time() - asked_at < 1.0
    fleet = Fleet("default", Parts(deadlines=False), engine_count=2, instance_count=3)
    async with fleet.running():
        routing = fleet.apps[0].get("routing")
        assert (await routing.acquire(work, deadline(5.0))).value_or(None) is not None


async def waiting_after_caller_left() -> int:
    fleet = Fleet("default", engine_count=1, instance_count=3)
    async with fleet.running():
        await acquire(fleet, 0, make_work("holder", tokens=350_000))
        work = make_work("waiter", tokens=200_000, output=100)
        waiting = asyncio.create_task(acquire(fleet, 1, work))
        await asyncio.sleep(2.0)
        assert sum(map(len, queues_of(fleet))) == 1
        waiting.cancel()
        await asyncio.sleep(1.0)
        return sum(map(len, queues_of(fleet)))


@pytest.mark.looptime
async def test_a_caller_that_leaves_while_it_waits_takes_its_request_back(monkeypatch):
    assert await waiting_after_caller_left() == 0
    monkeypatch.setattr(DispatchClient, "withdraw", lambda *arguments: None)
    assert await waiting_after_caller_left() == 1


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
