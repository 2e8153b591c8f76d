"""Look-ups and grants: what one request costs control, by members and endpoints."""

from __future__ import annotations

import asyncio
import random

from bench.control._cluster import run_paused, traffic
from bench.control._sample import Meter, Sample, traced_memory
from bench.load import Fleet
from cicadacourse.membership import Member, addresses_for_callers
from cicadacourse.routing import Outcome, Work
from cicadacourse.util.hashing import owner

MEMBERS = (6, 24, 96, 390)
ENDPOINTS = (20, 80, 240)
_LOOKUPS = 300
_REQUESTS = 200
_TRACED_REQUESTS = 40
_REQUESTS_PER_S = 30.0
_DEADLINE_S = 60.0
_INSTANCES = 6


def measure(seed: int) -> list[list[Sample]]:
    """Returns the cost of a look-up, then that of a grant."""
    return [
        [_measure_lookup(count) for count in MEMBERS],
        [run_paused(_measure_grants(count, seed)) for count in ENDPOINTS],
    ]


def _measure_lookup(count: int) -> Sample:
    """Answers which addresses to use, and finds a key's owner without a cache."""
    members = [
        Member(
            f"entry-{index:03d}", f"10.0.0.1:{index}", failure_domain="abcd"[index % 4]
        )
        for index in range(count)
    ]
    names = [member.name for member in members]
    meter = Meter()
    for seed in range(_LOOKUPS):
        addresses_for_callers(members, members[0], 3, seed)
    lookup_us = meter.cpu_ms() * 1000 / _LOOKUPS
    meter = Meter()
    for index in range(_LOOKUPS):
        owner(f"endpoint-{index}", names)
    owner_us = meter.cpu_ms() * 1000 / _LOOKUPS
    figures = {"cpu_us_per_lookup": lookup_us, "cpu_us_per_owner": owner_us}
    return Sample("look-up of addresses", "members", count, figures)


async def _measure_grants(count: int, seed: int) -> Sample:
    """Acquires and gives back grants for short prompts of six instances.

    What the idle fleet computes in the same time is taken off. The traced memory
    counts the engines' stand-ins too, so it is an upper bound.
    """
    with traced_memory() as memory:
        fleet = Fleet("default", engine_count=count, seed=seed)
        async with fleet.running():
            await _send(fleet, seed, _TRACED_REQUESTS)
            memory_kb = memory.kb() / _INSTANCES
    fleet = Fleet("default", engine_count=count, seed=seed)
    async with fleet.running():
        idle = Meter()
        await asyncio.sleep(_REQUESTS / _REQUESTS_PER_S)
        idle_ms = idle.cpu_ms()
        before, meter = traffic(fleet.apps, "dispatch"), Meter()
        granted = await _send(fleet, seed, _REQUESTS)
        sent, cpu_ms = traffic(fleet.apps, "dispatch").since(before), meter.cpu_ms()
        cpu_ms -= idle_ms
    figures = {
        "granted": float(granted),
        "calls_per_request": sent.calls / _REQUESTS,
        "sent_bytes_per_request": sent.sent_bytes / _REQUESTS,
        "cpu_ms_per_request": cpu_ms / _REQUESTS,
        "memory_kb_with_engines": memory_kb,
    }
    return Sample("grants, six instances", "endpoints", count, figures)


async def _send(fleet: Fleet, seed: int, requests: int) -> int:
    """Sends requests to random instances; returns how many were granted."""
    chooser = random.Random(seed)
    tasks = []
    for index in range(requests):
        await asyncio.sleep(1 / _REQUESTS_PER_S)
        work = Work(
            request_id=f"{seed}-{index}",
            attempt=1,
            organisation=f"organisation-{index % 10}",
            pool="models",
            prompt_tokens=1500,
            max_output_tokens=250,
            prefix=(chooser.getrandbits(64),),
        )
        routing = chooser.choice(fleet.apps).get("routing")
        tasks.append(asyncio.ensure_future(_acquire_and_release(routing, work)))
    return sum(await asyncio.gather(*tasks))


async def _acquire_and_release(routing: object, work: Work) -> bool:
    deadline = asyncio.get_running_loop().time() + _DEADLINE_S
    result = await routing.acquire(work, deadline)
    grant = result.value_or(None)
    if grant is None:
        return False
    await asyncio.sleep(1.0)
    routing.release(grant, Outcome.COMPLETE)
    return True
