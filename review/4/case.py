"""Another writer's entry, with fields missing, names a worker that drains."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins as s

INSTANCES = 6
REQUESTS_PER_S = 20.0
WARM_UP_S = 5.0
# The other writer's entry comes this long after the worker's report, and stands until the
# worker's next heartbeat.
ENTRY_AFTER_S = 4.0
SERVES_ON_S = 9.0


def other_entry(worker: s.Worker) -> bytes:
    """Returns an entry without ``version``, ``coldLeftMs``, ``seqNo`` and ``born``."""
    row = {
        "service": s.PLAIN, "address": worker.address, "zone": worker.zone,
        "slots": worker.slots, "state": "ready",
    }
    return json.dumps(row).encode()


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


async def check(record, store, leaving, instances) -> int:
    drain_at = s.now() + WARM_UP_S
    load = [
        asyncio.create_task(s.keep_asking(record, item, REQUESTS_PER_S, drain_at + SERVES_ON_S))
        for item in instances
    ]
    await asyncio.sleep(drain_at - s.now())
    leaving.drain()
    drain_at = s.now()
    record.write(f"the store accepts that worker {leaving.id} is draining")
    await asyncio.sleep(ENTRY_AFTER_S)
    if s.TROUBLE:
        store.put("keyed.servers", leaving.id, other_entry(leaving))
        record.write(f"trouble: another writer's entry, with fields missing, names {leaving.id}")
    await asyncio.sleep(s.HEARTBEAT_S)
    store.put("keyed.servers", leaving.id, leaving.entry())
    record.write(f"heartbeat of worker {leaving.id}, which is draining")
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
    print(f"last request {last - drain_at:.2f} s after the report; {len(late)} late")
    return s.BROKEN if late else s.HELD


s.main(case)
