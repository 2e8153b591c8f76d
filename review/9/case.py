"""A new version takes the last organisation's keys away."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    IS_TROUBLE,
    KEY,
    Record,
    make_configuration,
    make_headers,
    run_case,
    send,
)

MACHINES = 3
CONFIG_APPLY_S = 2.0
# Requests are judged that are sent later than this after the confirmation.
JUDGED_AFTER_S = CONFIG_APPLY_S + 3.0
REQUESTS = 30


async def main(fleet: Any, make_machine: Any, record: Record) -> bool:
    """Returns whether a worker ran a request whose key no desired state ever held."""
    for number in range(3):
        fleet.add_plain_service(f"worker-{number}", f"zone-{'abc'[number]}")
    fleet.configure(make_configuration(version=1))
    machines = [make_machine() for _ in range(MACHINES)]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_until_ready()
    await asyncio.sleep(3.0)
    for machine in machines:
        status = await _ask(machine, KEY, record)
        record.say(f"version 1, {machine.name}, the tenant's key: {status}")
    changes = {"tenants": []} if IS_TROUBLE else {}
    fleet.configure(make_configuration(version=2, **changes))
    record.say(f"version 2 is confirmed; it changes {list(changes) or 'nothing'}")
    await asyncio.sleep(JUDGED_AFTER_S)
    ids = {}
    for number in range(REQUESTS):
        machine = machines[number % MACHINES]
        request_id, key = secrets.token_hex(8), f"never-held-{secrets.token_hex(4)}"
        ids[request_id] = await _ask(machine, key, record, request_id)
    ran = [item for item in ids if fleet.count_runs(item)]
    for worker in fleet.workers:
        for arrival in worker.arrivals:
            record.write(f"{worker.id} runs {arrival.request_id}")
    record.say(f"answers to keys that no version held: {sorted(set(ids.values()))}")
    record.say(f"requests with such keys that ran: {len(ran)} of {len(ids)}")
    return bool(ran)


async def _ask(
    machine: Any, key: str, record: Record, request_id: str = ""
) -> int | str:
    headers = make_headers(4000, key, request_id)
    try:
        status, _ = await send(machine.address, "POST", "/book/x", headers, b"x")
    except (OSError, EOFError) as error:
        status = type(error).__name__
    request_id = headers["X-Cicadacourse-Request-Id"]
    record.write(f"{request_id} at {machine.name} with the key {key}: {status}")
    return status


run_case(main, FOLDER)
