"""Callers that are slow: what is refused says that it has not run, and what to do.

The limits are lowered in the settings of the instance.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from typing import Any, AsyncIterator

import pytest

from cicadacourse.platform._client_server import UNREAD
from cicadacourse.resources import SHED, ResourceSettings
from standins.callers import Response, encode_request, read_response
from standins.platform import KEY, PLAIN_POOL, Fleet, RegisteredEndpoint, Worker
from standins.ports import next_host
from tests.platform_fleet import (
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)
from tests.raw_endpoints import identify

# An account of 3.2 MB, whose lane for large bodies takes one of these.
LITTLE = {"memory_mb": 64, "held_share": 0.05}
BODY = b"b" * 900_000
# What a body that goes on moves in each of its steps.
STEP_BYTES, STEP_S = 40_000, 0.2


@contextlib.asynccontextmanager
async def _running(**settings: Any) -> AsyncIterator[tuple[Fleet, Instance]]:
    async with running_fleet() as fleet:
        section = ResourceSettings(**settings)
        instance = make_instance(fleet, "one", next_host(), sections=(section,))
        async with running_instance(instance):
            yield fleet, instance


@contextlib.asynccontextmanager
async def _sending(
    instance: Instance, size: int, timeout_ms: int = 4000
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Yields a connection on which the begin of a body was sent."""
    reader, writer = await asyncio.open_connection(instance.host, instance.caller_port)
    request = encode_request("/look/x", "r", timeout_ms, KEY, body=BODY)
    writer.write(request[: len(request) - len(BODY) + size])
    try:
        yield reader, writer
    finally:
        writer.close()


def _check_refusal(response: Response, status: int, reason: str) -> None:
    assert response.status == status
    body = json.loads(response.body)
    assert (body["reason"], body["run"]) == (reason, "not_run")
    assert float(response.headers["retry-after"]) > 0
    assert response.headers["connection"] == "close"


@pytest.mark.parametrize(
    ("settings", "timeout_ms"),
    [({"body_idle_s": 0.2}, 4000), ({}, 400)],
    ids=["pause", "deadline"],
)
async def test_a_body_that_is_held_back_is_refused(
    settings: dict[str, float], timeout_ms: int
) -> None:
    async with (
        _running(**settings) as (fleet, instance),
        _sending(instance, 1000, timeout_ms) as (reader, _),
    ):
        _check_refusal(await read_response(reader), 408, "body_too_slow")
        assert not any(item.arrivals for item in fleet.workers)


async def test_a_body_without_room_is_refused_while_others_go_on() -> None:
    async with _running(**LITTLE) as (_, instance):
        async with _sending(instance, 200_000) as (reader, writer):
            moving = asyncio.create_task(_send_rest(writer, 200_000))
            await asyncio.sleep(STEP_S)
            async with _sending(instance, len(BODY)) as (other, _):
                _check_refusal(await read_response(other), 503, "memory_full")
            await moving
            assert (await read_response(reader)).status == 200
        assert instance.app.get("resources").account.held < len(BODY)


async def _send_rest(writer: asyncio.StreamWriter, begin: int) -> None:
    for start in range(begin, len(BODY), STEP_BYTES):
        writer.write(BODY[start : start + STEP_BYTES])
        await asyncio.sleep(STEP_S)


async def test_a_body_without_progress_makes_room_for_one_that_waits() -> None:
    async with _running(**LITTLE) as (_, instance):
        async with _sending(instance, 200_000) as (reader, _):
            await asyncio.sleep(1.2)
            async with _sending(instance, len(BODY)) as (other, _):
                assert (await read_response(other)).status == 200
            _check_refusal(await read_response(reader), 408, "body_stalled")
        assert instance.app.metrics.value(SHED, kind="body") == 1


async def test_an_answer_that_nobody_reads_ends() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"
        writer.write(identify(answer, head) + b"y" * 8_000_000)

    async with running_fleet(plain_services=0) as fleet:
        async with await asyncio.start_server(serve, fleet.host, 0) as server:
            address = f"{fleet.host}:{server.sockets[0].getsockname()[1]}"
            endpoint = RegisteredEndpoint(Worker("raw"), address, PLAIN_POOL)
            fleet.register(endpoint)
            section = ResourceSettings(answer_idle_s=0.3)
            instance = make_instance(fleet, "one", next_host(), sections=(section,))
            async with running_instance(instance):
                with socket.socket() as caller:
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    caller.connect((instance.host, instance.caller_port))
                    caller.sendall(encode_request("/look/x", "r", 4000, KEY))
                    metrics = instance.app.metrics
                    await wait_until(lambda: metrics.value(UNREAD, listener="caller"))
                    await wait_until(
                        lambda: not instance.app.get("ingress")._server.open_connections
                    )
