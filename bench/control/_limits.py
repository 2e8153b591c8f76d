"""Limits: what an organisation costs its keeper and those who admit for it."""

from __future__ import annotations

import asyncio
import random

from bench.control._cluster import run_paused, start_joined, traffic
from bench.control._sample import Meter, Sample, traced_memory
from cicadacourse.limits import Limits
from cicadacourse.membership import Membership
from cicadacourse.tables import Route
from standins.memory_cluster import MemoryCluster

SIZES = (100, 400, 1600)
BUSY_SIZES = (4, 16, 64)
_INSTANCES = 6
_LOAD_S = 10.0
_QUIET_PER_S = 0.25
_BUSY_PER_S = 8.0
_ROUTE = Route(name="chat", pool="engines")


def measure(seed: int) -> list[list[Sample]]:
    """Returns the cost of organisations that ask seldom, of busy ones, the state."""
    return [
        [run_paused(_measure(size, _QUIET_PER_S, seed, "seldom")) for size in SIZES],
        [run_paused(_measure(size, _BUSY_PER_S, seed, "busy")) for size in BUSY_SIZES],
        [run_paused(_measure_state(size)) for size in SIZES],
    ]


async def _measure(size: int, per_s: float, seed: int, kind: str) -> Sample:
    cluster = MemoryCluster([Membership, Limits], seed=seed)
    await start_joined(cluster, [f"entry-{index}" for index in range(_INSTANCES)])
    await asyncio.sleep(5.0)
    idle = Meter()
    await asyncio.sleep(_LOAD_S)
    idle_ms = idle.cpu_ms()
    before, meter = traffic(cluster.apps, "limits"), Meter()
    requests = await _send(cluster, size, per_s, seed)
    sent = traffic(cluster.apps, "limits").since(before)
    cpu_ms = meter.cpu_ms() - idle_ms
    await cluster.close()
    figures = {
        "requests_per_s": requests / _LOAD_S,
        "calls_per_s": sent.calls / _LOAD_S,
        "sent_bytes_per_s": sent.sent_bytes / _LOAD_S,
        "cpu_ms_per_s": cpu_ms / _LOAD_S,
        "calls_per_request": sent.calls / requests,
    }
    matter = f"limits, {kind}, six instances together"
    return Sample(matter, "organisations", size, figures)


async def _send(cluster: MemoryCluster, size: int, per_s: float, seed: int) -> int:
    """Sends each organisation's requests to random instances; returns how many."""
    chooser = random.Random(seed)
    services = cluster.services("limits")
    loop = asyncio.get_running_loop()
    requests = round(size * per_s * _LOAD_S)
    tasks = []
    for _ in range(requests):
        await asyncio.sleep(_LOAD_S / requests)
        organisation = f"organisation-{chooser.randrange(size)}"
        admitting = chooser.choice(services).admit(
            organisation, _ROUTE, 1500, loop.time() + 10
        )
        tasks.append(asyncio.ensure_future(admitting))
    await asyncio.gather(*tasks)
    return requests


async def _measure_state(size: int) -> Sample:
    """Fills one instance with organisations, as keeper and as admitting side."""
    cluster = MemoryCluster([Membership, Limits])
    await start_joined(cluster, ["entry-0"])
    limits = cluster.get("entry-0", "limits")
    deadline = asyncio.get_running_loop().time() + 1e6
    await limits.admit("warm-up", _ROUTE, 1500, deadline)
    names = [f"organisation-{index}" for index in range(size)]
    with traced_memory() as memory:
        for name in names:
            await limits.admit(name, _ROUTE, 1500, deadline)
        bucket_and_share_kb = memory.kb()
        limits._share_by_id.clear()
        bucket_kb = memory.kb()
    await cluster.close()
    figures = {
        "bucket_memory_kb": bucket_kb,
        "share_memory_kb": bucket_and_share_kb - bucket_kb,
    }
    return Sample("limits, state of one instance", "organisations", size, figures)
