"""The HTTP endpoint client against raw servers: bounded buffers, no second send."""

from __future__ import annotations

import asyncio
import contextlib
import json

import attrs
import pytest
from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.endpoints import Endpoint, HttpEndpointClient
from cicadacourse.endpoints._curl import BodyStream
from cicadacourse.endpoints._settings import EndpointSettings
from cicadacourse.errors import CicadacourseError, ErrorKind

BUFFER_BYTES = 65_536
FLOOD_BYTES = 64 * 1024 * 1024


@attrs.frozen
class Grant:
    session: str = "s1"
    members: tuple = ()
    priority: int = 0
    dispatcher: str = "a"


@attrs.frozen
class Work:
    request_id: str = "r1"
    attempt: int = 1
    max_output_tokens: int = 8


@contextlib.asynccontextmanager
async def endpoint_client():
    instance = InstanceSettings(
        name="a",
        failure_domain="d",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )
    endpoint_settings = EndpointSettings(stream_buffer_bytes=BUFFER_BYTES)
    app = Application(Settings(instance, endpoint_settings))
    client = HttpEndpointClient(app)
    async with client.running():
        yield client


@contextlib.asynccontextmanager
async def raw_server(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with server:
        yield Endpoint("e1", "engine", f"{host}:{port}")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head.split(b" ", 2)[:2], json.loads(await reader.readexactly(length) or "{}")


def answer(body: bytes, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def line(position, text="", end=False):
    body = {"session": "s1", "request": "r1", "attempt": 1, "position": position}
    body |= {"end": True} if end else {"text": text}
    return json.dumps(body).encode() + b"\n"


async def test_an_unread_stream_holds_bounded_bytes_and_makes_the_engine_wait():
    sent = 0
    block = line(0, "x" * 1000)

    async def serve(reader, writer):
        nonlocal sent
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while sent < FLOOD_BYTES:
                writer.write(block)
                sent += len(block)
                await writer.drain()
            writer.write(line(7, end=True))
            await writer.drain()
        writer.close()

    def stalled():
        return body_streams[0].buffered_bytes if body_streams else 0

    body_streams: list[BodyStream] = []
    async with endpoint_client() as client, raw_server(serve) as endpoint:
        make_stream = client._body_stream

        def keep_stream(limit):
            body_streams.append(make_stream(limit))
            return body_streams[-1]

        client._body_stream = keep_stream
        async with client.generate(endpoint, Grant(), Work(), "p", "", 60) as lines:
            await anext(lines)
            last = -1
            while last != sent:
                last = sent
                await asyncio.sleep(0.3)
            assert sent < FLOOD_BYTES
            assert stalled() < 4 * BUFFER_BYTES
            rest = [item async for item in lines]
        assert rest[-1].end and sent == FLOOD_BYTES - FLOOD_BYTES % -len(block)


async def test_a_stream_given_up_closes_its_connection():
    closed = asyncio.Event()

    async def serve(reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + line(0, "abcd"))
        await reader.read()
        closed.set()
        writer.close()

    async with endpoint_client() as client, raw_server(serve) as endpoint:
        async with client.generate(endpoint, Grant(), Work(), "p", "", 60) as lines:
            assert (await anext(lines)).text == "abcd"
        async with asyncio.timeout(10):
            await closed.wait()


@pytest.mark.parametrize("fresh", [True, False])
async def test_a_call_is_sent_once_when_a_kept_connection_dies(fresh, monkeypatch):
    runs = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, body = await read_request(reader)
                runs.append(body["request"])
                if body["request"] == "second":
                    break
                result = {"request": "first", "attempt": 1, "result": {}}
                writer.write(answer(json.dumps(result).encode()))
        writer.close()

    if not fresh:
        transfer = BodyStream.transfer
        monkeypatch.setattr(
            BodyStream, "transfer", lambda self, request, **_: transfer(self, request)
        )
    async with endpoint_client() as client, raw_server(serve) as endpoint:
        first = await client.call(endpoint, "first", 1, "o", {}, 10)
        second = await client.call(endpoint, "second", 1, "o", {}, 10)
    assert isinstance(first, Success)
    assert second.failure().kind is ErrorKind.ENDPOINT_FAILED
    # Without a fresh connection, the curl library repeats the call by itself.
    assert runs.count("second") == (1 if fresh else 2)


async def test_errors_say_whether_the_endpoint_may_have_acted():
    answers = {
        "/sessions": answer(
            b'{"run": "not_run", "retry_after_s": 2, "reason": "leaving"}', 503
        ),
        "/calls": answer(b"{}", 500),
        "/orders": answer(b'{"last_token": 9}', 409),
    }

    async def serve(reader, writer):
        (_, path), _ = await read_request(reader)
        writer.write(answers[path.decode()])
        writer.close()

    async with endpoint_client() as client:
        async with raw_server(serve) as endpoint:
            with pytest.raises(CicadacourseError) as refused:
                async with client.generate(
                    endpoint, Grant(), Work(), "p", "", 9
                ) as lines:
                    await anext(lines)
            call = await client.call(endpoint, "r", 1, "o", {}, 10)
        unreachable = await client.call(endpoint, "r", 1, "o", {}, 10)
    error = refused.value.error
    assert (error.kind, error.label) == (ErrorKind.ENDPOINT_REFUSED, "leaving")
    assert error.retry_after_s == 2
    assert call.failure().kind is ErrorKind.ENDPOINT_FAILED
    assert unreachable == Failure(unreachable.failure())
    assert unreachable.failure().kind is ErrorKind.ENDPOINT_UNREACHABLE
