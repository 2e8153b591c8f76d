"""Clients that don't behave: an instance lives in bounds and answers ordinary callers.

Such clients ended a process, as it ran out of memory, and chunks of one byte stopped
one for good. Each test starts an instance of a machine of 300 MB as a process, and a
crowd as another one. Both run alone: ``tests.run`` starts these tests after the others,
one at a time. No test depends on times or on a share of requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys
from typing import AsyncIterator

import attrs
import pytest

from soak._instances import InstanceProcess
from soak._proxy import Proxy
from standins.callers import Response
from standins.platform import (
    ENGINE_POOL,
    PLAIN_POOL,
    Fleet,
    RegisteredEndpoint,
    Worker,
    make_configuration,
)
from standins.ports import free_port, next_host
from tests.platform_fleet import Caller, Instance, running_fleet
from tests.raw_endpoints import identify
from tests.test_platform.test_platform_processes import (
    ROOT,
    running_process,
    write_settings,
)

pytestmark = pytest.mark.alone

MEMORY_MB = 300
MAX_DESCRIPTORS = 512
# What an instance keeps free for other instances, the store, operators and files.
SPARE_DESCRIPTORS = 100
RESOURCES = f"""
[resources]
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
"""
# A caller whose request is refused or cut off comes back, as callers do.
MAX_TRIES = 6
RETRY_S = 0.5
# The shortest deadline on the users' sheets.
CALLER_TIMEOUT_MS = 1500
OK = 200
LARGE_ANSWER = b"y" * 4_194_304


@attrs.define
class Watch:
    """The most that a process has used while it was watched."""

    pid: int
    descriptors: int = 0

    async def run(self) -> None:
        """Looks at the descriptors until it is cancelled."""
        while True:
            with contextlib.suppress(OSError):
                entries = pathlib.Path(f"/proc/{self.pid}/fd").iterdir()
                self.descriptors = max(self.descriptors, sum(1 for _ in entries))
            await asyncio.sleep(0.05)

    @property
    def memory_mb(self) -> float:
        """The most resident memory that the process has had, in MB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / 1_000_000


@contextlib.asynccontextmanager
async def running_crowd(kind: str, count: int, address: str) -> AsyncIterator[None]:
    """Keeps a crowd, settled when it is yielded; see standins/unruly_crowd.py."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "standins.unruly_crowd", kind, str(count), address),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        assert await process.stdout.readline() == b"settled\n"
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()


async def ask(
    instance: Instance, path: str = "/look/x", tokens: str | None = None
) -> Response:
    """Returns the answer to an ordinary request, sent again until it is served."""
    caller = Caller(instance)
    response = None
    for _ in range(MAX_TRIES):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_MS / 1000):
                response = await caller.request(
                    path, tokens, timeout_ms=CALLER_TIMEOUT_MS
                )
            if response.status == OK and response.is_complete:
                return response
        await asyncio.sleep(RETRY_S)
    raise AssertionError(f"no answer to an ordinary request, the last: {response}")


async def check_crowd(
    fleet: Fleet,
    folder: pathlib.Path,
    kind: str,
    count: int,
    listener: str = "caller",
    path: str = "/look/x",
    tokens: str | None = None,
) -> None:
    """Runs an instance beside a crowd, and checks its life, its use and its answers."""
    settings = folder / "one.ini"
    instance = write_settings(settings, fleet, next_host(), further_sections=RESOURCES)
    ports = {
        "caller": instance.caller_port,
        "ready": instance.ready_port,
        "directory": instance.directory_port,
        "metrics": instance.metrics_port,
        "peer": peer_port(settings),
    }
    log = (folder / "one.log").open("wb")
    async with running_process(settings, instance, MAX_DESCRIPTORS, log) as process:
        await ask(instance, path, tokens)
        watch = Watch(process.pid)
        watching = asyncio.create_task(watch.run())
        address = f"{instance.host}:{ports[listener]}"
        async with running_crowd(kind, count, address):
            await ask(instance, path, tokens)
        await ask(instance, path, tokens)
        watching.cancel()
        assert process.returncode is None
        used = (round(watch.memory_mb), watch.descriptors)
        print(f"{kind} x {count}, {listener}: most MB and descriptors {used}")
        assert watch.memory_mb <= MEMORY_MB
        assert watch.descriptors <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS


def peer_port(settings: pathlib.Path) -> int:
    """Returns the port at which an instance listens for other instances."""
    lines = settings.read_text().splitlines()
    line = next(item for item in lines if item.startswith("peer_address"))
    return int(line.rpartition(":")[2])


@pytest.mark.parametrize(
    ("kind", "count"),
    [
        ("length-short", 120),
        ("chunked-short", 120),
        ("length-over", 120),
        ("chunked-over", 120),
        ("length-no-key", 120),
        ("chunked-no-key", 120),
        ("chunked-no-route", 120),
        ("small-chunks", 12),
        ("small-chunks", 120),
        ("small-chunks", 360),
        ("small-chunks-no-key", 120),
        ("head-only", 120),
        ("tiny-headers", 12),
        ("tiny-headers", 120),
        ("tiny-headers", 360),
        ("pipelined", 120),
        ("long-ids", 120),
        ("whole", 120),
        ("silent", 600),
        ("head-short", 600),
        ("head-only", 600),
    ],
)
async def test_requests_that_are_not_whole_or_not_allowed(
    kind: str, count: int, tmp_path: pathlib.Path
) -> None:
    """Nothing summed what was held for callers, and no timer ran from head to end."""
    async with running_fleet() as fleet:
        await check_crowd(fleet, tmp_path, kind, count)


@pytest.mark.parametrize("kind", ["head-only", "length-short", "answers-unread"])
async def test_connections_are_not_all_taken_for_the_time_of_a_long_route(
    kind: str, tmp_path: pathlib.Path
) -> None:
    """A body may be held back until its deadline, and an answer for longer."""
    async with running_fleet() as fleet:
        configuration = make_configuration(2)
        for route in configuration["routes"]:
            route["timeoutMs"] = 60_000
        fleet.configure(configuration)
        await check_crowd(fleet, tmp_path, kind, 600)


@pytest.mark.parametrize(
    ("listener", "kind", "count"),
    [
        *(
            (listener, kind, count)
            for listener in ("ready", "directory", "metrics")
            for kind, count in (("get-short", 30), ("head-short", 600))
        ),
        ("peer", "peer-short", 120),
        ("peer", "silent", 600),
    ],
)
async def test_the_other_listeners_are_bounded_too(
    listener: str, kind: str, count: int, tmp_path: pathlib.Path
) -> None:
    """Each read bodies of 100 MB, and waited for an hour for a head."""
    async with running_fleet() as fleet:
        await check_crowd(fleet, tmp_path, kind, count, listener)


WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_ANSWER)
ENDLESS_STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
LARGE_EVENTS = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"z" * 200_000) for number in range(40)
)


@pytest.mark.parametrize(
    ("kind", "pool", "answer", "ordinary"),
    [
        (
            "answers-unread",
            PLAIN_POOL,
            (WHOLE_ANSWER, LARGE_ANSWER),
            ("/ask/x", "5000,230"),
        ),
        (
            "streams-unread",
            ENGINE_POOL,
            (ENDLESS_STREAM, LARGE_EVENTS),
            ("/look/x", None),
        ),
    ],
)
async def test_answers_that_are_not_read(
    kind: str,
    pool: str,
    answer: tuple[bytes, bytes],
    ordinary: tuple[str, str | None],
    tmp_path: pathlib.Path,
) -> None:
    """Each was kept until its caller had read it or had left."""
    start, rest = answer

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                writer.write(identify(start, head) + rest)
                await writer.drain()

    is_plain = pool == PLAIN_POOL
    async with (
        running_fleet(
            engines=3 if is_plain else 0, plain_services=0 if is_plain else 2
        ) as fleet,
        await asyncio.start_server(serve, fleet.host, 0) as server,
    ):
        address = f"{fleet.host}:{server.sockets[0].getsockname()[1]}"
        for number in range(3):
            worker = Worker(f"raw-{number}")
            fleet.register(RegisteredEndpoint(worker, address, pool))
        path, tokens = ordinary
        await check_crowd(fleet, tmp_path, kind, 120, path=path, tokens=tokens)


async def test_bodies_that_go_through_another_instance(tmp_path: pathlib.Path) -> None:
    """Both instances keep copies of each body, which neither counted.

    Larger bodies do not fit into a message between instances.
    """
    async with running_fleet() as fleet:
        cut_off, other = (
            InstanceProcess(
                name,
                "a",
                next_host(),
                tmp_path,
                Proxy(f"{next_host()}:{free_port()}", fleet.store_address),
            )
            for name in ("one", "two")
        )
        cut_off.is_partitionable = True
        async with contextlib.AsyncExitStack() as stack:
            for instance in (cut_off, other):
                instance.further_settings = RESOURCES
                instance.write_settings()
                await stack.enter_async_context(instance.store_link.running())
                stack.push_async_callback(instance.kill)
                await instance.start()
            addresses = [item.address for item in fleet.endpoint_by_id.values()]
            cut_off.cuts.write_text("".join(f"{item} refuse\n" for item in addresses))
            address = Instance(None, cut_off.host, cut_off.caller_port, 0, 0)
            await ask(address)
            async with running_crowd("whole-3mb", 60, cut_off.caller_address):
                await ask(address)
            await ask(address)
            used = [round(item.peak_memory_mb) for item in (cut_off, other)]
            print(f"whole-3mb x 60 through another instance: most MB {used}")
            assert cut_off.is_running and other.is_running
            assert max(used) <= MEMORY_MB
