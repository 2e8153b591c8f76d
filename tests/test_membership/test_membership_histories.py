"""Random histories of faults: whatever happened, the views come together again."""

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
    """One step of a history.

    :param action: what happens.
    :param name: the instance that it happens to.
    :param pause_s: how long after the step before.
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
    """Applies one fault, unless it makes no sense now."""
    runs = fault.name in cluster.app_by_name
    domain = [
        name
        for name in NAMES
        if cluster.failure_domain(name) == cluster.failure_domain(fault.name)
    ]
    others = [name for name in NAMES if name not in domain]
    sides = cluster.addresses(domain), cluster.addresses(others)
    match fault.action:
        case "kill" if runs:
            cluster.thaw(fault.name)
            await cluster.kill(fault.name)
        case "start" if not runs:
            await cluster.start(fault.name)
        case "freeze" if runs:
            cluster.freeze(fault.name)
        case "thaw":
            cluster.thaw(fault.name)
        case "cut":
            cluster.network.partition(*sides)
        case "heal":
            cluster.network.heal(*sides)


async def views_after(make, history):
    """Returns what each instance sees of each, after all faults are over."""
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
        return list(cluster.app_by_name), [
            {item.name: item.state for item in service.members()}
            for service in cluster.services("membership")
        ]


def run(make, history):
    """Runs a history on a paused clock and returns whether the views agree."""
    loop = looptime.new_event_loop(noop_cycles=2)
    try:
        running, views = loop.run_until_complete(views_after(make, history))
    finally:
        loop.close()
    wanted = {name: MemberState.ALIVE for name in running}
    return all(view == wanted for view in views)


@settings(max_examples=15)
@given(histories)
@example(KILL_AND_CUT)
def test_views_agree_on_who_runs_once_the_faults_are_over(history):
    assert run(Membership, history)


def test_without_incarnations_they_do_not():
    assert not run(naive.without_incarnations, KILL_AND_CUT)
