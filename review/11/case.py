"""The store deletes its records right after an operator has withdrawn an evacuation.

The zone is evacuated again some seconds later, which the store acknowledges.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import struct
import sys
import tempfile
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_3 as harness  # noqa: E402
from standins._refusal import Refusal  # noqa: E402
from standins.callers import encode_request, read_response  # noqa: E402
from standins.platform import KEY, make_configuration  # noqa: E402
from standins.platform._store import StoreCore  # noqa: E402
from standins.platform._store_http import make_store_application  # noqa: E402
from tornado.httpserver import HTTPServer  # noqa: E402
from tornado.netutil import bind_sockets  # noqa: E402

ZONES = ("dk-east-a", "dk-east-b", "dk-east-c")
ZONE = ZONES[2]
# Of the site mzinga-swapnet-grown.
EVACUATE_S = 5.0
OUTER_S = 6.0
# The store has been sound for so long when the zone is evacuated again.
CALM_S = 5.0
# Requests count from here on: the bound is over, with what an unstable core may add.
COUNTED_FROM_S = EVACUATE_S + OUTER_S
COUNTED_S = 5.0
REQUESTS_PER_S = 20
EXIT_OK = 0
OPERATORS_TOPIC = "keyed.op"


class Store:
    """The store of the stand-ins, which may delete the operators' records.

    As the pages say, the newest record of each key is retained, and a read of deleted
    records is answered with 410.
    """

    def __init__(self, store: StoreCore, record: harness.Record) -> None:
        self.deletes_next = False
        self._store = store
        self._record = record

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    def append(self, topic: str, body: bytes, *arguments: Any) -> dict[str, Any]:
        """Appends records, and then deletes all of the topic if that is due."""
        result = self._store.append(topic, body, *arguments)
        if topic == OPERATORS_TOPIC:
            self._record.write(f"the store holds {body!r} at {result['offset']}")
            if self.deletes_next:
                self.deletes_next = False
                self._store.delete_records(topic)
                self._record.write(f"it deletes the records before {result['end']}")
        return result

    async def read(
        self, topic: str, offset: int, wait_s: float, max_bytes: int
    ) -> bytes:
        """Returns records; see :meth:`StoreCore.read`."""
        body = await self._store.read(topic, offset, wait_s, max_bytes)
        end, first = struct.unpack_from(">QQ", body)
        if offset < first:
            raise Refusal(410, detail="deleted")
        return body

    def serve(self, host: str, for_operators: bool) -> tuple[HTTPServer, str]:
        """Serves it; returns its address."""
        server = HTTPServer(make_store_application(self, for_operators))
        sockets = bind_sockets(0, host)
        server.add_sockets(sockets)
        return server, f"{host}:{sockets[0].getsockname()[1]}"


async def run_evacuate(
    record: harness.Record, address: str, *arguments: str
) -> int:
    """Runs the operators' command as a process; returns its exit status."""
    command = [*harness.deploy_command()[:-1], "evacuate", ZONE, *arguments]
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(harness.DEPENDENCIES),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    process = await asyncio.create_subprocess_exec(
        *command, "--store", address, cwd=harness.ROOT, env=environment
    )
    status = await process.wait()
    record.write(f"{' '.join(command[3:])}: exit status {status}")
    return status


class Load:
    """Sends requests at a steady rate until it is cancelled."""

    def __init__(self, record: harness.Record, instances: list[Any]) -> None:
        self.count_by_answer: dict[str, int] = {}
        self._record = record
        self._instances = instances
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests to all machines in turn."""
        number = 0
        while True:
            number += 1
            instance = self._instances[number % len(self._instances)]
            task = asyncio.create_task(self._send(instance, f"r{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, instance: harness.Instance, request_id: str) -> None:
        host, _, port = instance.caller_address.partition(":")
        self._record.write(f"sent {request_id}")
        try:
            async with asyncio.timeout(6.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    encode_request("/look/x", request_id, 4000, KEY, method="GET")
                )
                answer = str((await read_response(reader)).status)
                writer.close()
        except (OSError, EOFError, TimeoutError) as error:
            answer = type(error).__name__
        self._record.write(f"answered {request_id} {answer}")
        self.count_by_answer[answer] = self.count_by_answer.get(answer, 0) + 1


async def case() -> bool:
    """Plays the case; returns whether the rule was broken."""
    loop = asyncio.get_running_loop()
    record = harness.Record(FOLDER)
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = await stack.enter_async_context(harness.running_fleet())
        workers = [fleet.add_plain_service(f"w-{zone}", zone) for zone in ZONES]
        evacuated = workers[2].worker
        fleet.configure(make_configuration())
        bounds = {"coldOverage": 1.5, "evacuateMs": int(EVACUATE_S * 1000)}
        store = Store(fleet.store, record)
        server, address = store.serve(fleet.host, for_operators=False)
        stack.callback(server.stop)
        server, operators = store.serve(fleet.host, for_operators=True)
        stack.callback(server.stop)
        instances = [
            harness.Instance(f"front-{number}", zone, folder, address, bounds)
            for number, zone in enumerate(ZONES)
        ]
        await stack.enter_async_context(harness.running_instances(*instances))
        load = Load(record, instances)
        sending = asyncio.create_task(load.run())
        stack.callback(sending.cancel)
        await asyncio.sleep(2.0)
        if not evacuated.arrivals:
            raise harness.CannotRun("the zone got no request before")
        statuses = [await run_evacuate(record, operators)]
        await asyncio.sleep(3.0)
        store.deletes_next = harness.HAS_TROUBLE
        statuses.append(await run_evacuate(record, operators, "--withdraw"))
        await asyncio.sleep(CALM_S)
        statuses.append(await run_evacuate(record, operators))
        acknowledged_at = loop.time()
        if statuses != [EXIT_OK, EXIT_OK, EXIT_OK]:
            raise harness.CannotRun(f"exit statuses {statuses}")
        await asyncio.sleep(COUNTED_FROM_S + COUNTED_S)
        late = [
            item
            for item in evacuated.arrivals
            if item.at > acknowledged_at + COUNTED_FROM_S
        ]
        for item in late:
            after_s = item.at - acknowledged_at
            record.write(f"ran {item.request_id} in {ZONE}, {after_s:.2f} s after")
        if load.count_by_answer.get("200", 0) < 100:
            raise harness.CannotRun(f"answers: {load.count_by_answer}")
        print(f"{len(late)} requests reached {ZONE} over {COUNTED_FROM_S} s after")
        print(f"its evacuation was acknowledged; answers {load.count_by_answer}")
        return bool(late)


if __name__ == "__main__":
    sys.exit(harness.play(case))
