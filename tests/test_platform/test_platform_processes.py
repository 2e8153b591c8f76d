"""Tests of an instance as a process: settings, SIGTERM, kill and restart."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import signal
import sys
from typing import AsyncIterator, BinaryIO

from cicadacourse.platform import _names as names
from standins.callers import event_ids
from standins.platform import Fleet
from standins.ports import free_port, next_host
from tests.platform_fleet import (
    PEER_PORT,
    Caller,
    Instance,
    fetch,
    running_fleet,
    wait_until,
)

ROOT = pathlib.Path(__file__).parents[2]
OK = 200


def write_settings(
    path: pathlib.Path,
    fleet: Fleet,
    host: str,
    name: str = "one",
    further_sections: str = "",
) -> Instance:
    """Writes an instance's settings and returns its addresses."""
    ports = [free_port(host) for _ in range(4)]
    path.write_text(f"""
[instance]
name = {name}
failure_domain = a
caller_address = {host}:{ports[0]}
peer_address = {host}:{PEER_PORT}
[store]
address = {fleet.store_address}
[listen]
ready_address = {host}:{ports[1]}
directory_address = {host}:{ports[2]}
metrics_address = {host}:{ports[3]}
directory_ttl_s = 0.2
{further_sections}""")
    return Instance(None, host, *ports)


@contextlib.asynccontextmanager
async def running_process(
    settings: pathlib.Path,
    instance: Instance,
    max_descriptors: int | None = None,
    output: int | BinaryIO = asyncio.subprocess.PIPE,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs an instance as a process, which is ready when it is yielded.

    :param max_descriptors: the limit of its open descriptors, None for that of the
        test.
    :param output: where its standard output goes.
    """

    def limit_descriptors() -> None:
        if max_descriptors is not None:
            limits = (max_descriptors, max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cicadacourse", "serve"),
        cwd=ROOT,
        env={**os.environ, "CICADACOURSE_BOOT": str(settings)},
        stdout=output,
        preexec_fn=limit_descriptors,
    )
    try:
        await _wait_until_ready(instance)
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.communicate()


async def _wait_until_ready(instance: Instance) -> None:
    statuses: list[int] = []

    async def ask() -> None:
        while OK not in statuses:
            with contextlib.suppress(OSError):
                response = await fetch(
                    instance.host, instance.ready_port, names.PATH_READY
                )
                statuses.append(response.status)
            await asyncio.sleep(0.05)

    task = asyncio.create_task(ask())
    await wait_until(lambda: OK in statuses)
    await task


async def test_sigterm_drains_streams_and_exits_with_0(
    tmp_path: pathlib.Path,
) -> None:
    async with running_fleet() as fleet:
        settings = tmp_path / "one.ini"
        instance = write_settings(settings, fleet, next_host())
        async with running_process(settings, instance) as process:
            caller = Caller(instance)
            assert (await caller.request("/book/x")).status == OK
            stream = asyncio.create_task(caller.request("/ask/x", "5000,900"))
            await wait_until(lambda: _in_progress(fleet))
            process.send_signal(signal.SIGTERM)
            response = await stream
            assert response.is_complete
            assert event_ids(response.body) == list(range(20))
            output, _ = await process.communicate()
            assert process.returncode == 0
            events = [json.loads(line)["event"] for line in output.splitlines()]
            assert events[-1] == "instance stopped"
            assert events.count("request ended") == 2


async def test_a_killed_instance_serves_again_and_no_request_runs_twice(
    tmp_path: pathlib.Path,
) -> None:
    async with running_fleet() as fleet:
        settings = tmp_path / "one.ini"
        instance = write_settings(settings, fleet, next_host())
        caller = Caller(instance)
        async with running_process(settings, instance):
            stream = asyncio.create_task(caller.request("/ask/x", "5000,9000"))
            await wait_until(lambda: _in_progress(fleet))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            assert not (await stream).is_complete
        await wait_until(lambda: not _in_progress(fleet))
        async with running_process(settings, instance):
            assert (await caller.request("/book/x")).status == OK
        assert all(fleet.count_runs(item) <= 1 for item in caller.sent_ids)


async def test_invalid_settings_are_named_on_standard_error(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "bad.ini"
    path.write_text("[instance]\nname = one\nfailure_domane = a\n")
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cicadacourse", "serve", "--settings", str(path)),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert b"did you mean 'failure_domain'?" in errors
    assert b"[store]: missing section" in errors


def _in_progress(fleet: Fleet) -> bool:
    return any(item.worker.in_progress for item in fleet.endpoint_by_id.values())


async def test_a_reload_signal_ends_neither_requests_nor_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """One that came after the services had stopped ended the process."""
    async with running_fleet() as fleet:
        settings = tmp_path / "one.ini"
        instance = write_settings(settings, fleet, next_host())
        async with running_process(settings, instance) as process:
            caller = Caller(instance)
            stream = asyncio.create_task(caller.request("/ask/x", "5000,900"))
            await wait_until(lambda: _in_progress(fleet))
            process.send_signal(signal.SIGHUP)
            assert (await stream).is_complete
            process.send_signal(signal.SIGTERM)
            output = asyncio.create_task(process.communicate())
            while process.returncode is None:
                # The method ``send_signal`` may take the exit status from the loop.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGHUP)
                await asyncio.sleep(0.002)
            await output
            assert process.returncode == 0
