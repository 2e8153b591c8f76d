"""Random histories of faults, after which all views must converge."""

from __future__ import annotations

import asyncio

import attrs
import looptime
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cicadacourse.membership import Membership, MemberState
from standins.memory_cluster import memory_cluster
from tests.test_membership import naive

NAMES = ["e1", "e2", "e3", "e4", "e5", "e6"]
SETTLING_S = 90.0


@attrs.frozen
class Fault:
    """One fault of a history.

    :param action: kind of the fault, or its end.
    :param name: the instance; ``cut`` and ``heal`` apply to its failure domain.
    :param pause_s: seconds since the previous fault.
    """

    action: str
    name: str
    pause_s: float


histories = st.lists(
    st.builds(
        Fault,
        action=st.sampled_from(["kill", "start", "freeze", "thaw", "cut", "heal"]),
        name=st.sampled_from(NAMES),
        pause_s=st.sampled_from([0.1, 1.0, 4.0, 12.0]),
    ),
    max_size=12,
)
KILL_AND_CUT = [
    Fault("freeze", "e1", 1.0),
    Fault("cut", "e2", 1.0),
    Fault("kill", "e3", 12.0),
    Fault("start", "e3", 12.0),
]


async def apply(cluster, fault):
    """Applies one fault, unless the state of the instance rules it out."""
    is_running = fault.name in cluster.application_by_name
    domain = [
        name
        for name in NAMES
        if cluster.failure_domain(name) == cluster.failure_domain(fault.name)
    ]
    others = [name for name in NAMES if name not in domain]
    sides = cluster.addresses(domain), cluster.addresses(others)
    match fault.action:
        case "kill" if is_running:
            cluster.thaw(fault.name)
            await cluster.kill(fault.name)
        case "start" if not is_running:
            await cluster.start(fault.name)
        case "freeze" if is_running:
            cluster.freeze(fault.name)
        case "thaw":
            cluster.thaw(fault.name)
        case "cut":
            cluster.network.partition(*sides)
        case "heal":
            cluster.network.heal(*sides)


async def views_after(make, history):
    """Applies a history and returns the running instances and their views after it.

    All instances are thawed and the network is healed before the views settle.
    """
    async with memory_cluster(NAMES, [make]) as cluster:
        await asyncio.sleep(10)
        for fault in history:
            await asyncio.sleep(fault.pause_s)
            await apply(cluster, fault)
        addresses = cluster.addresses(NAMES)
        cluster.network.heal(addresses, addresses)
        for name in NAMES:
            cluster.thaw(name)
        await asyncio.sleep(SETTLING_S)
        return list(cluster.application_by_name), [
            {item.name: item.state for item in service.members()}
            for service in cluster.services("membership")
        ]


def converges(make, history):
    """Runs a history on a simulated clock and returns whether the views converge."""
    loop = looptime.new_event_loop(noop_cycles=2)
    try:
        running, views = loop.run_until_complete(views_after(make, history))
    finally:
        loop.close()
    expected = {name: MemberState.ALIVE for name in running}
    return all(view == expected for view in views)


@settings(max_examples=15)
@given(histories)
@example(KILL_AND_CUT)
def test_views_converge_after_the_faults(history):
    assert converges(Membership, history)


def test_views_do_not_converge_without_incarnations():
    assert not converges(naive.without_incarnations, KILL_AND_CUT)
