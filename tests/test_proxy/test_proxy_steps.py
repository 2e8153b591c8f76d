"""No fault at any step of a proxied exchange runs a request twice or hides a cut.

Each message to the peer may be lost, late or doubled, and the peer or the sender may
end, freeze, leave or be cut off at any step.
"""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import pytest

from cicadacourse.util.clock import now
from tests.endpoint_links import LinkFault
from tests.gateway_cluster import GatewayCluster, gateway_cluster
from tests.simulated_endpoints import SimulatedEndpoint, make_endpoints
from tests.test_gateway.test_gateway_silence import run
from tests.test_proxy.peer_faults import (
    MessageFault,
    MessageFaults,
    Outcome,
    exchange,
    expected_body,
    lose_link,
    make_request,
)

# The steps of an exchange: a message and its number. The endpoint sends four events.
STEPS = [
    ("proxy.OpenProxied", 1),
    ("proxy.SendProxied", 1),
    ("proxy.ReadProxied", 1),
    ("proxy.ReadProxied", 2),
    ("proxy.ReadProxied", 4),
    ("proxy.ReadProxied", 5),
    ("proxy.CloseProxied", 1),
]
# How long an endpoint may work on a request that has no sender any more.
CANCEL_BOUND_S = 0.5
# An exchange with an endpoint takes 0.2 s; a fault is found out within this time.
OUTCOME_BOUND_S = 1.2
EXCHANGE_LIMIT_S = 10.0
PEERS_EVENTS = {
    "kill": lambda cluster, name: cluster.kill(name),
    "freeze": lambda cluster, name: _freeze(cluster, name, 2.0),
    "short freeze": lambda cluster, name: _freeze(cluster, name, 0.2),
    "cut": lambda cluster, name: _partition(cluster, name),
    "leave": lambda cluster, name: _set_leaving(cluster, name),
    "lose link": lambda cluster, name: _cut_from_endpoints(cluster, name),
}


async def _freeze(cluster: GatewayCluster, name: str, seconds: float) -> None:
    cluster.freeze(name)
    asyncio.get_running_loop().call_later(seconds, cluster.thaw, name)


async def _partition(cluster: GatewayCluster, name: str) -> None:
    memory = cluster.memory
    memory.network.partition([memory.address("n0")], [memory.address(name)])


async def _set_leaving(cluster: GatewayCluster, name: str) -> None:
    cluster.memory.get(name, "membership").set_leaving()


async def _cut_from_endpoints(cluster: GatewayCluster, name: str) -> None:
    cluster.cut([name], LinkFault.RESET)


def check_outcome(outcome: Outcome, endpoint: SimulatedEndpoint, body: bytes) -> None:
    """Checks that a request ran at most once and that its outcome is true."""
    assert len(endpoint.arrivals) <= 1
    assert body.startswith(outcome.body)
    assert outcome.is_complete == (outcome.failure is None)
    assert not outcome.is_complete or outcome.body == body
    if outcome.failure is not None:
        assert outcome.failure.may_have_run or not endpoint.arrivals


async def _disturb(
    step: tuple[str, int],
    fault: MessageFault | None,
    event: Callable[[GatewayCluster, str], Awaitable[None]] | None,
) -> None:
    async with gateway_cluster(3, make_endpoints(1)) as cluster:
        (endpoint,) = cluster.endpoint_by_id.values()
        lose_link(cluster, "n0")
        name_by_address = {cluster.memory.address(f"n{n}"): f"n{n}" for n in range(3)}

        async def on_sent(address: str) -> None:
            if event is not None:
                await event(cluster, name_by_address[address])

        name, number = step
        peers = cluster.memory.get("n0", "peers")
        faults = MessageFaults(peers, name, number, fault, on_sent)
        request = make_request(endpoint)
        started = now()
        async with asyncio.timeout(EXCHANGE_LIMIT_S):
            outcome = await exchange(cluster, request)
        assert faults.met or name == "proxy.CloseProxied"
        assert outcome.ended_at - started <= OUTCOME_BOUND_S
        await asyncio.sleep(CANCEL_BOUND_S)
        if event is not PEERS_EVENTS["freeze"]:
            # A peer that is frozen closes nothing until it goes on.
            assert endpoint.in_progress == 0
        await asyncio.sleep(3.0)
        check_outcome(outcome, endpoint, expected_body(endpoint, request))
        if event is not PEERS_EVENTS["lose link"] and outcome.failure is not None:
            assert not outcome.failure.is_broken_off
        assert endpoint.in_progress == 0
        carried = [item.in_progress for item in cluster.memory.services("proxy")]
        assert not any(carried)


@pytest.mark.parametrize("fault", list(MessageFault))
@pytest.mark.parametrize("step", STEPS)
def test_no_message_that_is_lost_late_or_doubled_runs_a_request_twice(
    step: tuple[str, int], fault: MessageFault
) -> None:
    run(_disturb, step, fault, None)


@pytest.mark.parametrize("event", list(PEERS_EVENTS))
@pytest.mark.parametrize("step", STEPS)
def test_no_end_of_a_peer_runs_a_request_twice(
    step: tuple[str, int], event: str
) -> None:
    run(_disturb, step, None, PEERS_EVENTS[event])


@pytest.mark.parametrize("event", list(PEERS_EVENTS))
@pytest.mark.parametrize("fault", [MessageFault.LOSE_REPLY, MessageFault.DUPLICATE])
@pytest.mark.parametrize("step", STEPS[:3])
def test_no_two_faults_at_once_run_a_request_twice(
    step: tuple[str, int], fault: MessageFault, event: str
) -> None:
    run(_disturb, step, fault, PEERS_EVENTS[event])
