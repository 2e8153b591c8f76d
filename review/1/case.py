"""Another writer's registry entry holds a number that can't be read."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "1"))

import standins as s

INSTANCES = 6
REQUESTS_PER_S = 20.0
WARM_UP_S = 5.0
# The other writer's entry comes this long before the worker drains, far more than
# ``contactMs``.
ENTRY_LEAD_S = 6.0
# It serves on for ``drainMs`` and "at times many seconds" more.
SERVES_ON_S = 8.0
RESTART_S = 10.0
# A whole number of 400 digits: valid JSON, and no number that a field can hold.
NUMBER = "9" * 400


def other_entry() -> bytes:
    return (
        '{"service": "inventory", "address": "127.0.0.1:9", "zone": "dk-east-a",'
        ' "version": "v1", "slots": 4, "state": "ready", "coldLeftMs": %s,'
        ' "seqNo": 0, "born": 1700000000000}' % NUMBER
    ).encode()


async def case(record: s.Record, folder: pathlib.Path) -> int:
    store = s.Store()
    await store.start(s.loopback(1))
    store.put("keyed.op", "config", s.configuration())
    workers = [s.Worker(store, record, f"w{n}", s.ZONES[n]) for n in range(3)]
    for number, worker in enumerate(workers):
        await worker.open(s.loopback(10 + number))
    ports = s.free_ports()
    ips = [s.loopback(100 + n) for n in range(INSTANCES)]
    seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
    instances = [
        s.Instance(folder, f"front-{n}", s.ZONES[n % 3], ip, ports, store.address, seeds)
        for n, ip in enumerate(ips)
    ]
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_until_ready()
        return await check(record, store, workers[2], instances)
    finally:
        for instance in instances:
            await instance.end()


async def is_ready_again(instance: s.Instance) -> bool:
    """Returns whether a restarted instance gets ready; recorded, and not judged."""
    try:
        await instance.wait_until_ready(RESTART_S)
    except s.CouldNotRun:
        return False
    return True


async def check(record, store, leaving, instances) -> int:
    entry_at = s.now() + WARM_UP_S
    drain_at = entry_at + ENTRY_LEAD_S
    load = [
        asyncio.create_task(s.keep_asking(record, item, REQUESTS_PER_S, drain_at + SERVES_ON_S))
        for item in instances
    ]
    await asyncio.sleep(entry_at - s.now())
    if s.TROUBLE:
        store.put("keyed.servers", "inventory-1", other_entry())
        record.write("trouble: another writer writes the entry inventory-1")
    await asyncio.sleep(drain_at - s.now())
    leaving.drain()
    drain_at = s.now()
    record.write(f"the store accepts that worker {leaving.id} is draining")
    results = [item for part in await asyncio.gather(*load) for item in part]
    answered = sum(1 for item in results if item[3] == 200)
    if answered < 0.5 * len(results):
        record.write(f"only {answered} of {len(results)} requests were served")
        return s.COULD_NOT_RUN
    bound = drain_at + s.BOUNDS["drainMs"] / 1000
    late = [item for item in leaving.arrivals if item[0] > bound]
    last = max((item[0] for item in leaving.arrivals), default=0.0)
    record.write(
        f"{len(results)} requests, {answered} served; draining at {drain_at:.3f}, last"
        f" request reached the worker at {last:.3f}; {len(late)} were late"
    )
    await instances[0].end()
    await instances[0].start()
    is_back = await is_ready_again(instances[0])
    record.write(f"{instances[0].name}, started again, is ready within {RESTART_S} s: {is_back}")
    print(f"last request {last - drain_at:.2f} s after the report; {len(late)} late")
    return s.BROKEN if late else s.HELD


s.main(case)
