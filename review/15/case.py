"""Most machines lose power at once; the directory goes on naming them to consumers.

A machine without power is one whose process is stopped and never goes on: it answers
nothing, and channels to it hang.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_3 as harness  # noqa: E402
from standins.platform import make_configuration  # noqa: E402

ZONES = ("dk-east-a", "dk-east-b", "dk-east-c")
MACHINES = 30
# The share that loses power.
SHARE = 0.6
# Of the site mzinga-swapnet-grown.
CONTACT_S = 4.0
NAMED_UNTIL_S = CONTACT_S + 3.0
ALLOWED_ANSWERS = 3
# The time after the start in which the machines find each other.
CALM_S = 6.0
ASKED_FOR_S = 15.0
ASK_PERIOD_S = 0.5
ASK_TIMEOUT_S = 1.0


async def ask(instance: harness.Instance, zone: str) -> list[str]:
    """Returns the addresses that a machine's directory names; none if it fails."""
    host, _, port = instance.directory_address.partition(":")
    path = f"/api/resolve?name=fleet.example&region=dk-east&zone={zone}"
    request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request.encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
    except (OSError, TimeoutError):
        return []
    return json.loads(body)["addresses"] if b" 200 " in head[:16] else []


async def case() -> bool:
    """Plays the case; returns whether the rule was broken."""
    loop = asyncio.get_running_loop()
    record = harness.Record(FOLDER)
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = await stack.enter_async_context(harness.running_fleet())
        for zone in ZONES:
            fleet.add_plain_service(f"w-{zone}", zone)
        fleet.configure(make_configuration())
        instances = [
            harness.Instance(
                f"front-{number}",
                ZONES[number % len(ZONES)],
                folder,
                fleet.store_address,
                bounds={"evacuateMs": 5000, "coldOverage": 1.5},
            )
            for number in range(MACHINES)
        ]
        await stack.enter_async_context(harness.running_instances(*instances))
        await asyncio.sleep(CALM_S)
        lost = random.Random(1).sample(instances, int(SHARE * MACHINES))
        running = [item for item in instances if item not in lost]
        lost_addresses = {item.caller_address for item in lost}
        running_addresses = {item.caller_address for item in running}
        before = await asyncio.gather(*(ask(item, ZONES[0]) for item in running))
        if not all(before):
            raise harness.CannotRun("a directory does not answer")
        if harness.HAS_TROUBLE:
            for instance in lost:
                instance.send_signal(signal.SIGSTOP)
                record.write(f"{instance.name} {instance.caller_address} is off")
        else:
            lost_addresses = set()
        lost_at = loop.time()
        asked = answers = 0
        while loop.time() < lost_at + ASKED_FOR_S:
            await asyncio.sleep(ASK_PERIOD_S)
            zone = ZONES[asked % len(ZONES)]
            asked += 1
            after_s = loop.time() - lost_at
            found = await asyncio.gather(*(ask(item, zone) for item in running))
            for instance, addresses in zip(running, found):
                named = lost_addresses.intersection(addresses)
                is_beside = not running_addresses.isdisjoint(addresses)
                record.write(
                    f"{after_s:.2f} s after, {instance.name} names for {zone}"
                    f" {addresses}, {len(named)} of them off"
                )
                if named and is_beside and after_s > NAMED_UNTIL_S:
                    answers += 1
        text = (
            f"{answers} answers named a machine that was off for over"
            f" {NAMED_UNTIL_S} s, beside a running one; {ALLOWED_ANSWERS} are allowed"
        )
        record.write(text)
        print(text)
        return answers > ALLOWED_ANSWERS


if __name__ == "__main__":
    sys.exit(harness.play(case))
