"""Claims of keys: appends, calls and processor time per claim, by claims a second."""

from __future__ import annotations

import asyncio
import random

from returns.result import Success

from bench.control._cluster import run_paused, start_joined, traffic
from bench.control._sample import Meter, Sample
from cicadacourse.claims import Claims
from cicadacourse.membership import Membership
from standins.log import LogCore
from standins.log_service import instance_log
from standins.memory_cluster import MemoryCluster

CLAIMS_PER_S = (5, 20, 80)
_INSTANCES = 6
_LOAD_S = 10.0
_LIMIT_S = 20.0
_APPEND_S = 0.01


def measure(seed: int) -> list[list[Sample]]:
    """Returns the cost of claims that come at random instances."""
    return [[run_paused(_measure(per_s, seed)) for per_s in CLAIMS_PER_S]]


async def _measure(per_s: int, seed: int) -> Sample:
    core = LogCore()
    core.faults.slow_s = _APPEND_S
    cluster = MemoryCluster([instance_log(core), Membership, Claims], seed=seed)
    await start_joined(cluster, [f"entry-{index}" for index in range(_INSTANCES)])
    await asyncio.sleep(5.0)
    await _claim(cluster, core, per_s, random.Random(seed))
    before, appends, meter = traffic(cluster.apps, "claims"), core.appends, Meter()
    won = await _claim(cluster, core, per_s, random.Random(seed + 1))
    sent, cpu_ms = traffic(cluster.apps, "claims").since(before), meter.cpu_ms()
    appended = core.appends - appends
    await cluster.close()
    claims = per_s * _LOAD_S
    figures = {
        "won_share": won / claims,
        "appends_per_s": appended / _LOAD_S,
        "calls_per_claim": sent.calls / claims,
        "sent_bytes_per_claim": sent.sent_bytes / claims,
        "cpu_ms_per_claim": cpu_ms / claims,
    }
    return Sample("claims, six instances", "claims a second", per_s, figures)


async def _claim(
    cluster: MemoryCluster, core: LogCore, per_s: int, chooser: random.Random
) -> int:
    """Claims a new key each time; returns how many were won."""
    tasks = []
    for index in range(round(per_s * _LOAD_S)):
        await asyncio.sleep(1 / per_s)
        key = f"{core.time_ms // 1000}-{chooser.getrandbits(64)}"
        claims = chooser.choice(cluster.services("claims"))
        deadline = asyncio.get_running_loop().time() + _LIMIT_S
        claiming = claims.claim(key, f"request-{index}", deadline)
        tasks.append(asyncio.ensure_future(claiming))
    results = await asyncio.gather(*tasks)
    return sum(isinstance(result, Success) for result in results)
