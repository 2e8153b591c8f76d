"""Tests of membership under failures.

Most also run with the mechanism that prevents the failure disabled, and must fail then.
"""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.events import RESUMED_AFTER_PAUSE
from cicadacourse.membership import Member, Membership, MemberState, _syncer
from cicadacourse.membership._syncer import Contact
from standins.memory_cluster import memory_cluster
from tests.test_membership import naive

SIX = ["e1", "e2", "e3", "e4", "e5", "e6"]
ALIVE = {MemberState.ALIVE}

pytestmark = pytest.mark.looptime(noop_cycles=2)


def running(make=Membership, names=SIX, **options):
    return memory_cluster(names, [make], **options)


def states(cluster, name):
    """Returns the states of a member in the views of the running instances."""
    seen = [service.find(name) for service in cluster.services("membership")]
    return {member.state if member else None for member in seen}


def all_states(cluster):
    return set().union(*(states(cluster, name) for name in cluster.application_by_name))


def count_deaths(cluster):
    return sum(
        app.metrics.value("membership_deaths_total")
        for app in cluster.application_by_name.values()
    )


def expect(holds, make):
    """Checks that a property holds only with all mechanisms enabled."""
    assert holds == (make is Membership)


def with_naive(make):
    return pytest.mark.parametrize("make", [Membership, make])


@with_naive(naive.without_suspicion)
async def test_lost_messages_alone_cause_no_deaths(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        cluster.network.default_link.drop_probability = 0.15
        await asyncio.sleep(150)
        expect(count_deaths(cluster) == 0, make)


@with_naive(naive.without_incarnations)
async def test_a_member_frozen_until_declared_dead_rejoins(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        cluster.freeze("e3")
        await asyncio.sleep(30)
        others = [cluster.get(name, "membership") for name in SIX if name != "e3"]
        assert {one.find("e3").state for one in others} == {MemberState.DEAD}
        cluster.thaw("e3")
        await asyncio.sleep(30)
        expect(all_states(cluster) == ALIVE, make)


@with_naive(naive.without_pause_detection)
async def test_a_resumed_instance_detects_its_pause_before_it_acts(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        resumed = cluster.get("e3", "membership")
        events = []
        resumed.app.events.connect(RESUMED_AFTER_PAUSE, lambda: events.append("paused"))
        cluster.freeze("e3")
        await asyncio.sleep(30)
        cluster.thaw("e3")
        alive = {member.name for member in resumed.alive_members()}
        expect(events == ["paused"] and "e3" not in alive, make)
        await asyncio.sleep(30)
        assert "e3" in {member.name for member in resumed.alive_members()}


async def test_a_resumed_instance_does_not_offer_itself_until_it_has_synced():
    async with running() as cluster:
        await asyncio.sleep(20)
        resumed = cluster.get("e3", "membership")
        cluster.freeze("e3")
        await asyncio.sleep(30)
        others = cluster.addresses([name for name in SIX if name != "e3"])
        cluster.network.partition([cluster.address("e3")], others)
        cluster.thaw("e3")
        await asyncio.sleep(3)
        assert "e3" not in {member.name for member in resumed.alive_members()}


@with_naive(naive.without_pause_detection)
async def test_a_resumed_instance_suspects_no_member_for_its_own_pause(make):
    async with running(make, names=SIX[:2]) as cluster:
        cluster.network.default_link.delay_s = 0.15
        await asyncio.sleep(20)
        for start in range(10):
            await asyncio.sleep(10 + start / 10)
            cluster.freeze("e1")
            await asyncio.sleep(3)
            cluster.thaw("e1")
        metrics = cluster.application_by_name["e1"].metrics
        expect(metrics.value("membership_suspicions_total") == 0, make)


@with_naive(naive.without_indirect_probes)
async def test_one_broken_link_causes_no_suspicion(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        cluster.network.partition([cluster.address("e1")], [cluster.address("e2")])
        await asyncio.sleep(120)
        suspicions = cluster.application_by_name["e1"].metrics.value(
            "membership_suspicions_total"
        )
        expect(suspicions == 0, make)


@with_naive(naive.without_syncs_with_dead_members)
async def test_a_partitioned_failure_domain_rejoins(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        domain = [name for name in SIX if cluster.failure_domain(name) == "a"]
        others = [name for name in SIX if name not in domain]
        cut = cluster.addresses(domain), cluster.addresses(others)
        cluster.network.partition(*cut)
        await asyncio.sleep(120)
        inside = cluster.get(domain[0], "membership")
        assert [member.name for member in inside.members()] == domain
        cluster.network.heal(*cut)
        await asyncio.sleep(60)
        expect(all_states(cluster) == ALIVE, make)


@with_naive(naive.trusting_the_contacts)
async def test_stale_contacts_neither_remove_live_members_nor_revive_dead_ones(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        await cluster.kill("e3")
        await asyncio.sleep(20)
        del cluster.contact_by_name["e2"]
        listed_dead, unlisted_live = set(), set()
        for _ in range(40):
            await asyncio.sleep(1)
            listed_dead |= states(cluster, "e3")
            unlisted_live |= states(cluster, "e2")
        dead = {MemberState.DEAD}
        expect(listed_dead == dead and unlisted_live == ALIVE, make)


@with_naive(naive.without_incarnations)
async def test_a_restarted_instance_rejoins(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        await cluster.kill("e3")
        await asyncio.sleep(20)
        await cluster.start("e3")
        await asyncio.sleep(20)
        expect(all_states(cluster) == ALIVE, make)


@with_naive(naive.without_replacement_detection)
async def test_a_frozen_process_that_was_replaced_does_not_rejoin(make):
    async with running(make) as cluster:
        await asyncio.sleep(20)
        cluster.freeze("e3")
        await asyncio.sleep(20)
        old, old_address = cluster.get("e3", "membership"), cluster.address("e3")
        await cluster.replace("e3")
        await asyncio.sleep(20)
        cluster.network.thaw(old_address)
        await asyncio.sleep(60)
        addresses = {
            service.find("e3").peer_address
            for service in cluster.services("membership")
        }
        alive = {member.peer_address for member in old.alive_members()}
        is_replaced = addresses == {cluster.address("e3")} and old_address not in alive
        expect(is_replaced, make)


@pytest.mark.parametrize("partners", [8, 1])
async def test_instances_that_start_together_join_at_once(partners, monkeypatch):
    """After a power loss, six instances start within 0.4 s and list each other.

    With a single refresh partner they don't all find each other at once.
    """
    monkeypatch.setattr(_syncer, "_REFRESH_PARTNERS", partners)
    async with running(names=[]) as cluster:
        for name in SIX:
            cluster.add_contact(name)
        for name in SIX:
            await cluster.start(name)
            await asyncio.sleep(0.08)
        known = {
            len(service.alive_members()) for service in cluster.services("membership")
        }
        assert (known == {6}) == (partners > 1)


async def test_one_sync_makes_both_views_equal():
    async with running(names=SIX[:2]) as cluster:
        await asyncio.sleep(20)
        first, second = cluster.services("membership")
        cluster.network.partition(
            *[[address] for address in cluster.network_addresses()]
        )
        for index in range(200):
            member = Member(f"m{index}", f"10.9.0.{index}:1", incarnation=index % 3)
            (first, second)[index % 2].view.merge(member, 0.0)
        cluster.network.heal(*[[address] for address in cluster.network_addresses()])
        contact = Contact("e2", cluster.address("e2"))
        assert await first._syncer.sync(contact)
        assert first.members() == second.members()
        assert len(first.members()) == 202


async def test_a_configuration_version_reaches_all_members():
    async with running() as cluster:
        await asyncio.sleep(20)
        cluster.get("e1", "membership").set_configuration_version(7)
        await asyncio.sleep(15)
        versions = [
            service.find("e1").configuration_version
            for service in cluster.services("membership")
        ]
        assert versions == [7] * 6
