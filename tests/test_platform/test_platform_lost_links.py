"""What callers and endpoints see of an instance that has lost its links to endpoints.

Real processes over loopback: one of two instances is cut off. If the other instance
changed a byte of what it passes on, a caller would get an answer that no endpoint gave,
or an endpoint would run a request that no caller sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
from typing import AsyncIterator

import attrs
import pytest

from cicadacourse.platform import _names as names
from soak._cuts import Cut
from soak._environment import Site, SoakEnvironment, running_environment
from soak._instances import InstanceProcess
from standins.callers import encode_request, event_ids, read_response
from standins.platform import PROFILE
from standins.ports import free_port, next_host
from tests.raw_endpoints import identify, read_id

OK = 200
TIMEOUT_MS = 4000
START_TIMEOUT_S = 20.0
# From so long after the beginning of a cut, requests are served as without it.
SETTLED_S = 3.0
EVENTS = 10
CALLS = 20
# Connections from the instance that carries the exchanges, of which it keeps some.
MAX_CONNECTIONS = 4
BODY = bytes(range(256)) * 40
ANSWERS = {
    "/look/length?a=%20&b=1": (
        b"HTTP/1.1 200 Fine\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        b"X-Odd:  two  spaces \r\nContent-Length: 10240\r\n\r\n" + BODY
    ),
    "/look/chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\n\x00\r\n\r\n2800\r\n" + BODY + b"\r\n0\r\n\r\n"
    ),
    "/look/empty": b"HTTP/1.1 204 No Content\r\n\r\n",
    "/book/failure": (b"HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nno\r\n"),
    "/book/error": (b"HTTP/1.1 500 Broken\r\nContent-Length: 2\r\n\r\n{}"),
}


@attrs.define
class RawEndpoint:
    """An endpoint that answers by a table and keeps the bytes of all requests.

    :ivar connections: how many connections it has accepted.
    """

    request_by_id: dict[str, bytes] = attrs.field(factory=dict)
    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                self.request_by_id[read_id(head).decode()] = head + body
                answer = ANSWERS[head.split()[1].decode()]
                writer.write(identify(answer, head))
        writer.close()


@contextlib.asynccontextmanager
async def _running(
    folder: pathlib.Path,
) -> AsyncIterator[tuple[SoakEnvironment, RawEndpoint]]:
    """Runs two instances before engines and plain services that are one endpoint."""
    raw = RawEndpoint()
    host = next_host()
    port = free_port(host)
    site = Site(2, engines_per_instance=2, is_partitionable=True)
    async with await asyncio.start_server(raw.serve, host, port):
        async with running_environment(folder, 1, site) as environment:
            for id, link in environment.link_by_endpoint_id.items():
                if id.startswith("plain"):
                    link.target = f"{host}:{port}"
            async with asyncio.timeout(START_TIMEOUT_S):
                for instance in environment.instances:
                    await _wait_until_serving(instance, environment.keys[0])
            yield environment, raw


async def _wait_until_serving(instance: InstanceProcess, key: str) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            answer = await _call(instance, key, "/look/empty", "start")
            if b" 204 " in answer.partition(b"\r\n")[0]:
                return
        await asyncio.sleep(0.1)


async def _call(
    instance: InstanceProcess, key: str, path: str, id: str, body: bytes = b""
) -> bytes:
    """Sends a request on a new connection; returns all bytes of the response."""
    headers = {"Connection": "close", "X-Odd": "a,  b", "Accept": "*/*"}
    request = encode_request(path, id, TIMEOUT_MS, key, body=body, headers=headers)
    reader, writer = await asyncio.open_connection(instance.host, instance.caller_port)
    with contextlib.closing(writer):
        writer.write(request)
        return await reader.read()


async def _stream(instance: InstanceProcess, key: str, id: str) -> list[int]:
    """Returns the ids of the events of a stream, whose response must be whole."""
    tokens = f"4000,{EVENTS * PROFILE.steps_per_pass}"
    reader, writer = await asyncio.open_connection(instance.host, instance.caller_port)
    with contextlib.closing(writer):
        writer.write(encode_request("/ask/x", id, TIMEOUT_MS, key, tokens))
        response = await read_response(reader)
    assert (response.status, response.is_complete) == (OK, True)
    assert response.headers[names.HEADER_SIGNATURE.lower()].endswith(f".{id}")
    return event_ids(response.body)


def _without_changes(data: bytes, id: str) -> bytes:
    """Returns the bytes of a message without what differs for each request."""
    for name in (names.HEADER_TIME_LEFT_MS, names.HEADER_EXPECTED_ENDPOINT, "Date"):
        data = re.sub(rb"(?i)%s: [^\r]*\r\n" % name.encode(), b"", data)
    return data.replace(id.encode(), b"ID")


@pytest.mark.parametrize("cut", list(Cut))
async def test_nothing_is_changed_on_the_way_through_another_instance(
    cut: Cut, tmp_path: pathlib.Path
) -> None:
    async with _running(tmp_path) as (environment, raw):
        lost, sound = environment.instances
        key, links = environment.keys[0], environment.link_by_endpoint_id
        with environment.cuts.cutting([lost], list(links), cut):
            await _settle(lost, key)
            connections = raw.connections
            for number, path in enumerate(ANSWERS):
                body = BODY[: number * 1000]
                seen = []
                for instance in (sound, lost):
                    id = f"{instance.name}-{number}"
                    answer = await _call(instance, key, path, id, body)
                    pair = (answer, raw.request_by_id[id])
                    seen.append([_without_changes(item, id) for item in pair])
                assert seen[0] == seen[1]
                assert b"raw.ID" in seen[1][0]
                assert seen[1][1].endswith(body)
            assert await _stream(lost, key, "stream") == list(range(EVENTS))
            for number in range(CALLS):
                answer = await _call(lost, key, "/look/empty", f"call-{number}")
                assert answer.startswith(b"HTTP/1.1 204")
            assert raw.connections - connections <= MAX_CONNECTIONS


async def _settle(instance: InstanceProcess, key: str) -> None:
    """Sends requests until callers must be served as well as elsewhere."""
    until = asyncio.get_running_loop().time() + SETTLED_S
    while asyncio.get_running_loop().time() < until:
        await _call(instance, key, "/look/empty", "settling")
        await asyncio.sleep(0.1)
