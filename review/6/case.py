"""A worker leaves while one of the machines that read the list is cut off the store."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import time
from collections import Counter
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IS_TROUBLE,
    CouldNotRun,
    Record,
    StoreLink,
    make_configuration,
    make_headers,
    run_case,
    send,
)

# As in the first zone of the site.
MACHINES = 3
ZONE = "zone-a"
WORKERS = 4
DRAIN_S = 2.0
CUT_S = 4.0
# The worker's entry is removed this long before the cut ends.
GONE_BEFORE_END_S = 1.5
# Further workers come one after the other.
NEW_WORKERS = 12
NEW_WORKER_GAP_S = 0.4
WATCH_S = 2.5
CONSUMERS = 6
PAUSE_S = (0.02, 0.08)
LOAD_S = 16.0


async def main(fleet: Any, make_machine: Any, record: Record) -> bool:
    """Returns whether a worker got requests too long after its entry was removed."""
    for number in range(WORKERS):
        fleet.add_plain_service(f"worker-{number}", ZONE)
    fleet.configure(make_configuration())
    links = [StoreLink(fleet.store_address) for _ in range(MACHINES)]
    for link in links:
        await link.start()
    machines = [make_machine(zone=ZONE, store=link.address) for link in links]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_until_ready()
    await asyncio.sleep(4.0)
    machine_by_request: dict[str, str] = {}
    stop_at = time.monotonic() + LOAD_S
    consumers = [
        asyncio.create_task(
            _consume(number, machine, stop_at, machine_by_request, record)
        )
        for machine in machines
        for number in range(CONSUMERS)
    ]
    for link in links:
        link.registry_reads = 0
    await asyncio.sleep(WATCH_S)
    reads = [link.registry_reads for link in links]
    record.say(f"reads of the list of workers: {reads}")
    if 0 not in reads or not any(reads):
        raise CouldNotRun("not some of the machines read the list")
    calm = machines[reads.index(0)]
    cut_number = next(number for number, count in enumerate(reads) if count)
    cut = machines[cut_number]
    if IS_TROUBLE:
        links[cut_number].cut()
        record.say(f"{cut.name} is cut off the store for {CUT_S} s")
    await asyncio.sleep(CUT_S - GONE_BEFORE_END_S)
    worker = _find_most_used(fleet, calm.name, machine_by_request)
    fleet.remove(worker.id)
    gone_at = asyncio.get_running_loop().time()
    record.say(f"{worker.id} leaves: its entry is removed, and it serves on")
    newcomers = asyncio.create_task(_add_workers(fleet, record))
    await asyncio.sleep(GONE_BEFORE_END_S)
    links[cut_number].heal()
    await asyncio.gather(newcomers, *consumers)
    late: Counter[str] = Counter()
    for arrival in worker.arrivals:
        after_s = arrival.at - gone_at
        sender = machine_by_request[arrival.request_id]
        record.write(
            f"{worker.id} runs {arrival.request_id} of {sender}: {after_s:.3f}"
        )
        if after_s > DRAIN_S:
            late[sender] += 1
    record.say(f"requests over {DRAIN_S} s after its entry was removed: {dict(late)}")
    # The machine that was cut off is not in touch.
    return any(name != cut.name for name in late)


def _find_most_used(fleet: Any, name: str, machine_by_request: dict[str, str]) -> Any:
    """Returns the worker that runs most of the requests of a machine."""
    counts = {
        worker: sum(
            machine_by_request.get(item.request_id) == name for item in worker.arrivals
        )
        for worker in fleet.workers
    }
    return max(counts, key=counts.__getitem__)


async def _add_workers(fleet: Any, record: Record) -> None:
    for number in range(NEW_WORKERS):
        await asyncio.sleep(NEW_WORKER_GAP_S)
        fleet.add_plain_service(f"new-worker-{number}", ZONE)
        record.write(f"new-worker-{number} comes")


async def _consume(
    number: int,
    machine: Any,
    stop_at: float,
    machine_by_request: dict[str, str],
    record: Record,
) -> None:
    """Sends one safe request after the other to the same machine."""
    chooser = random.Random(number)
    while time.monotonic() < stop_at:
        headers = make_headers(3000)
        request_id = headers["X-Cicadacourse-Request-Id"]
        machine_by_request[request_id] = machine.name
        try:
            status, _ = await send(machine.address, "POST", "/look/x", headers, b"x")
            answer = str(status)
        except (OSError, EOFError) as error:
            answer = type(error).__name__
        record.write(f"{request_id} at {machine.name}: {answer}")
        await asyncio.sleep(chooser.uniform(*PAUSE_S))


run_case(main, FOLDER)
