"""Tests of the membership service: joins, failures, leaving and log lines."""

from __future__ import annotations

import asyncio

import attrs
import logbook
import pytest

import cicadacourse.membership  # noqa: F401
from cicadacourse.logs import MEMBER_DIED, MEMBER_SUSPECTED, MEMBER_SUSPICION_CLEARED
from cicadacourse.membership import MemberState
from standins.memory_cluster import memory_cluster

SIX = ["e1", "e2", "e3", "e4", "e5", "e6"]

pytestmark = pytest.mark.looptime(noop_cycles=2)


def running(names=SIX, **options):
    return memory_cluster(names, ["membership"], **options)


def states(cluster, name):
    """Returns the states of a member in the views of the running instances."""
    seen = [service.find(name) for service in cluster.services("membership")]
    return {member.state if member else None for member in seen}


async def test_all_instances_join():
    async with running() as cluster:
        await asyncio.sleep(20)
        for service in cluster.services("membership"):
            assert [member.name for member in service.alive_members()] == SIX


async def test_a_killed_instance_is_declared_dead_by_all():
    async with running() as cluster:
        await asyncio.sleep(20)
        await cluster.kill("e3")
        await asyncio.sleep(15)
        assert states(cluster, "e3") == {MemberState.DEAD}


async def test_callers_stop_being_sent_to_a_leaving_instance_within_seconds():
    async with running() as cluster:
        await asyncio.sleep(20)
        cluster.get("e3", "membership").set_leaving()
        await asyncio.sleep(3)
        assert states(cluster, "e3") == {MemberState.LEAVING}
        for service in cluster.services("membership"):
            assert "e3" not in [item.name for item in service.alive_members()]
        await cluster.stop("e3")
        await asyncio.sleep(3)
        assert states(cluster, "e3") == {MemberState.DEAD}


async def test_a_service_that_has_ended_starts_no_task_when_it_is_suspected():
    """Guards against a suspicion after the end that starts calls on closed connections.

    Soak seed 337 shows the failure.
    """
    async with running() as cluster:
        await asyncio.sleep(20)
        ended = cluster.get("e3", "membership")
        await cluster.stop("e3")
        suspected = attrs.evolve(ended.self_member(), state=MemberState.SUSPECT)
        ended.receive(suspected)
        assert ended.self_member().incarnation > suspected.incarnation
        assert not ended._tasks


async def test_suspicion_its_end_and_death_of_a_member_are_logged():
    with logbook.TestHandler() as handler:
        async with running() as cluster:
            await asyncio.sleep(20)
            cluster.freeze("e3")
            while not handler.has_warning(MEMBER_SUSPECTED.text):
                await asyncio.sleep(0.1)
            cluster.thaw("e3")
            await asyncio.sleep(10)
            assert handler.has_info(MEMBER_SUSPICION_CLEARED.text)
            assert not handler.has_warning(MEMBER_DIED.text)
            await cluster.kill("e3")
            await asyncio.sleep(15)
            assert handler.has_warning(MEMBER_DIED.text)


async def test_instances_that_start_together_know_each_other_within_a_second():
    """An instance that had joined told only those that it had synced with.

    The others heard of it by probes, one each period.
    """
    names = [f"e{number}" for number in range(20)]
    async with running(names) as cluster:
        await asyncio.sleep(1.0)
        for service in cluster.services("membership"):
            assert len(service.alive_members()) == len(names)
