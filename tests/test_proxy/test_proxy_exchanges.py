"""Exchanges through a peer: what arrives, when, and what is refused or cancelled."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.proxy import _server
from cicadacourse.proxy._pieces import MAX_PIECE_BYTES
from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_gateway.test_gateway_silence import run
from tests.test_proxy.peer_faults import (
    exchange,
    expected_body,
    lose_link,
    make_request,
)

# Later than this, an endpoint must have no work for a sender that is gone.
CANCEL_BOUND_S = 0.5
CONNECT_BOUND_S = 0.47
# What each event may take longer through a peer: a message each way.
EVENT_DELAY_S = 0.02


async def _streams() -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        endpoint.events, endpoint.event_s = 20, 0.05
        lose_link(cluster, "n0")
        request = make_request(endpoint, time_left_s=2.0)
        started = now()
        outcome = await exchange(cluster, request)
        assert outcome.is_complete
        assert outcome.body == expected_body(endpoint, request)
        for number, at in enumerate(outcome.chunk_times):
            expected_s = endpoint.work_s + number * endpoint.event_s
            assert at - started - expected_s <= EVENT_DELAY_S * (number + 2)
        (arrival,) = endpoint.arrivals
        assert arrival.instance != "n0"
        assert 1.95 <= arrival.request.time_left_s < 2.0


def test_events_arrive_one_by_one_through_a_peer() -> None:
    run(_streams)


async def _slow_caller() -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        lose_link(cluster, "n0")
        request = make_request(endpoint)
        outcome = await exchange(cluster, request, pause_s=3.0)
        assert outcome.body == expected_body(endpoint, request)


def test_a_caller_that_reads_slowly_keeps_its_exchange() -> None:
    run(_slow_caller)


async def _sender_is_lost(how: str) -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        endpoint.events = 10_000
        lose_link(cluster, "n0")
        task = asyncio.create_task(exchange(cluster, make_request(endpoint)))
        await asyncio.sleep(1.0)
        assert endpoint.in_progress == 1
        memory = cluster.memory
        if how == "cut":
            memory.network.partition([memory.address("n0")], [memory.address("n1")])
        elif how == "freeze":
            cluster.freeze("n0")
        elif how == "kill":
            await cluster.kill("n0")
        else:
            task.cancel()
        await asyncio.sleep(CANCEL_BOUND_S)
        assert endpoint.in_progress == 0
        if how == "freeze":
            cluster.thaw("n0")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("how", ["leave", "cut", "freeze", "kill"])
def test_an_endpoint_stops_within_half_a_second_of_its_sender(how: str) -> None:
    run(_sender_is_lost, how)


async def _all_cut_off(fault: LinkFault) -> None:
    async with gateway_cluster(3, make_endpoints(2)) as cluster:
        endpoint = next(iter(cluster.endpoint_by_id.values()))
        cluster.cut(["n0", "n1", "n2"], fault)
        for _ in range(5):
            started = now()
            outcome = await exchange(cluster, make_request(endpoint))
            assert outcome.failure is not None
            assert outcome.failure.reason == "unreachable"
            assert not outcome.failure.may_have_run
            assert now() - started <= CONNECT_BOUND_S
        assert not endpoint.arrivals


@pytest.mark.parametrize("fault", list(LinkFault))
def test_no_second_hop_and_a_bounded_time_if_peers_are_cut_off_too(
    fault: LinkFault,
) -> None:
    run(_all_cut_off, fault)


async def _learns(fault: LinkFault) -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        cluster.cut(["n0"], fault)
        took = []
        for _ in range(8):
            started = now()
            outcome = await exchange(cluster, make_request(endpoint))
            assert outcome.is_complete
            took.append(now() - started)
            await asyncio.sleep(0.3)
        assert max(took[2:]) < min(took) + 0.05


@pytest.mark.parametrize("fault", list(LinkFault))
def test_requests_do_not_each_pay_for_a_lost_link(fault: LinkFault) -> None:
    run(_learns, fault)


async def _prefers_direct() -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        for _ in range(3):
            outcome = await exchange(cluster, make_request(endpoint))
            assert outcome.is_complete
        assert {item.instance for item in endpoint.arrivals} == {"n0"}


def test_an_instance_with_a_link_uses_it() -> None:
    run(_prefers_direct)


async def _bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_server, "MAX_CARRIED", 3)
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        lose_link(cluster, "n0")
        outcomes = await asyncio.gather(
            *(exchange(cluster, make_request(endpoint, f"x{n}")) for n in range(5))
        )
        assert sum(item.is_complete for item in outcomes) == 3
        for item in outcomes:
            assert item.is_complete or not item.failure.may_have_run


def test_a_peer_carries_a_bounded_number_of_exchanges(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run(_bounded, monkeypatch)


async def _refused(change: str) -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        lose_link(cluster, "n0")
        app = cluster.memory.application_by_name["n1"]
        if change == "gone":
            app.get("catalog").registry.remove(endpoint.endpoint.id)
        elif change == "declines":
            endpoint.retry_after_s = 5.0
            head = endpoint.make_head()
            app.get("eligibility").declines.observe(endpoint.endpoint, head)
        else:
            app.get("membership").set_leaving()
        outcome = await exchange(cluster, make_request(endpoint))
        assert outcome.failure is not None and not outcome.failure.may_have_run
        assert not endpoint.arrivals


@pytest.mark.parametrize("change", ["gone", "declines", "leaving"])
def test_a_peer_refuses_what_it_knows_to_be_unwanted(change: str) -> None:
    run(_refused, change)


async def _long_body() -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        lose_link(cluster, "n0")
        body = bytes(range(256)) * 8192
        request = make_request(endpoint, "x" * 3 * MAX_PIECE_BYTES, body)
        outcome = await exchange(cluster, request)
        assert outcome.body == expected_body(endpoint, request)
        (arrival,) = endpoint.arrivals
        assert arrival.request.caller.body == body
        too_long = make_request(endpoint, "x2", bytes(5_000_000))
        outcome = await exchange(cluster, too_long)
        assert outcome.failure is not None and not outcome.failure.may_have_run


def test_long_bodies_pass_unchanged_and_too_long_ones_are_not_sent() -> None:
    run(_long_body)


async def _abort() -> None:
    async with gateway_cluster(2, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        endpoint.events = 10_000
        lose_link(cluster, "n0")
        task = asyncio.create_task(exchange(cluster, make_request(endpoint)))
        await asyncio.sleep(1.0)
        client = cluster.memory.get("n0", "endpoint_caller")
        client.abort_exchanges(endpoint.endpoint.id)
        outcome = await task
        assert outcome.failure is not None and outcome.failure.is_broken_off
        await asyncio.sleep(0.1)
        assert endpoint.in_progress == 0


def test_exchanges_of_a_dead_endpoint_are_aborted_through_a_peer() -> None:
    run(_abort)
