"""Membership: traffic, processor time and memory per member, by number of members."""

from __future__ import annotations

import asyncio

from bench.control._cluster import (
    measure_traffic,
    run_with_simulated_clock,
    start_cluster,
)
from bench.control._sample import Meter, Sample, traced_memory
from cicadacourse.membership import Member, Membership
from cicadacourse.membership._messages import SyncMembers
from cicadacourse.membership._view import MembershipView
from cicadacourse.peers import decode, encode
from standins.memory_cluster import MemoryCluster

SIZES = (6, 24, 96, 390)
CHANGE_SIZES = (6, 24, 96)
_QUIET_S = 10.0
_CHANGE_S = 20.0


def measure(seed: int) -> list[list[Sample]]:
    """Returns samples without changes, of one member's change, and of the state."""
    quiet = [run_with_simulated_clock(_measure_quiet(size, seed)) for size in SIZES]
    changes = [
        run_with_simulated_clock(_measure_change(size, seed)) for size in CHANGE_SIZES
    ]
    return [quiet, changes, [_measure_view(size) for size in SIZES]]


def _make_cluster(seed: int) -> MemoryCluster:
    return MemoryCluster([Membership], seed=seed, failure_domains=("a", "b", "c", "d"))


def _names(size: int) -> list[str]:
    return [f"entry-{index:03d}" for index in range(size)]


async def _measure_quiet(size: int, seed: int) -> Sample:
    cluster = _make_cluster(seed)
    await start_cluster(cluster, _names(size))
    await asyncio.sleep(1.0)
    before, meter = measure_traffic(cluster.applications, "membership"), Meter()
    await asyncio.sleep(_QUIET_S)
    sent = measure_traffic(cluster.applications, "membership").since(before)
    cpu_ms = meter.cpu_ms()
    await cluster.close()
    member_seconds = size * _QUIET_S
    figures = {
        "calls_per_s": sent.calls / member_seconds,
        "sent_bytes_per_s": sent.sent_bytes / member_seconds,
        "cpu_ms_per_s": cpu_ms / member_seconds,
    }
    return Sample("membership, quiet, per member", "members", size, figures)


async def _measure_change(size: int, seed: int) -> Sample:
    """Lets one member leave and measures the additional traffic per member."""
    cluster = _make_cluster(seed)
    await start_cluster(cluster, _names(size))
    await asyncio.sleep(1.0)
    before = measure_traffic(cluster.applications, "membership")
    await asyncio.sleep(_CHANGE_S)
    quiet = measure_traffic(cluster.applications, "membership").since(before)
    before = measure_traffic(cluster.applications, "membership")
    started = asyncio.get_running_loop().time()
    cluster.get("entry-000", "membership").set_leaving()
    received_s = await _wait_until_all_received(cluster, started)
    await asyncio.sleep(started + _CHANGE_S - asyncio.get_running_loop().time())
    changed = measure_traffic(cluster.applications, "membership").since(before)
    await cluster.close()
    figures = {
        "extra_calls": (changed.calls - quiet.calls) / size,
        "extra_bytes": (changed.sent_bytes - quiet.sent_bytes) / size,
        "all_heard_s": received_s,
    }
    return Sample("membership, one change, per member", "members", size, figures)


async def _wait_until_all_received(cluster: MemoryCluster, started: float) -> float:
    """Waits until every instance has received that ``entry-000`` leaves.

    :param started: when it began to leave, loop time in seconds.
    :returns: the seconds since then, measured to a tenth of a second.
    """
    services = cluster.services("membership")[1:]
    while any(service.find("entry-000").state.value == "alive" for service in services):
        await asyncio.sleep(0.1)
    return asyncio.get_running_loop().time() - started


def _measure_view(size: int) -> Sample:
    """Measures a view that has merged every member from received messages."""
    members = tuple(
        Member(name, f"10.0.0.1:{index}", f"10.0.1.1:{index}", "dk-east", "a")
        for index, name in enumerate(_names(size))
    )
    body = encode(SyncMembers(sender=members[0], members=members))
    view = MembershipView()
    with traced_memory() as memory:
        for member in decode("membership.SyncMembers", body).members:
            view.merge(member, 0.0)
        memory_kb = memory.kb()
    figures = {"memory_kb": memory_kb, "sync_bytes_if_all_differ": float(len(body))}
    return Sample("membership, state, per member", "members", size, figures)
