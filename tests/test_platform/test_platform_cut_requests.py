"""Requests are the same however they are cut, and a refusal reaches its caller."""

from __future__ import annotations

import asyncio
import random

import pytest

from standins.callers import Response, encode_request, read_response
from standins.platform import HOST, KEY, Fleet, make_configuration
from tests.platform_fleet import Instance, running_fleet, running_one_instance

SEEDS = 40
MAX_BODY_BYTES = 300_000
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def _chunk(body: bytes, sizes: random.Random) -> bytes:
    """Encodes a body in chunks of random sizes."""
    encoded = b""
    while body:
        size = sizes.choice((1, 2, 17, 300, 20_000))
        part, body = body[:size], body[size:]
        encoded += b"%x\r\n%s\r\n" % (len(part), part)
    return encoded + b"0\r\n\r\n"


def _encode(id: str, body: bytes, is_chunked: bool, source: random.Random) -> bytes:
    request = encode_request("/book/x", id, 10_000, KEY, body=body)
    if not is_chunked:
        return request
    head, _, _ = request.partition(b"\r\n\r\n")
    head = head.replace(
        b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked"
    )
    return head + b"\r\n\r\n" + _chunk(body, source)


async def _send_cut(
    instance: Instance, data: bytes, source: random.Random, answers: int
) -> list[Response]:
    """Sends bytes in random pieces on one connection and returns the answers."""
    reader, writer = await asyncio.open_connection(instance.host, instance.caller_port)
    try:
        while data:
            size = source.choice((1, 3, 50, 1000, 16_384, 70_000))
            piece, data = data[:size], data[size:]
            writer.write(piece)
            await writer.drain()
            if source.random() < 0.3:
                await asyncio.sleep(0.0005)
        return [await read_response(reader) for _ in range(answers)]
    finally:
        writer.close()


def _runs(fleet: Fleet) -> dict[str, bytes]:
    """Returns the body of each request that ran, by its id."""
    arrivals = [item for worker in fleet.workers for item in worker.arrivals]
    return {item.request_id: item.content.body for item in arrivals}


async def test_requests_of_one_connection_are_the_same_however_they_are_cut() -> None:
    """Bodies are read by a reader of our own, which must leave the next request."""
    async with running_fleet() as fleet, running_one_instance(fleet) as instance:
        for seed in range(SEEDS):
            source = random.Random(seed)
            bodies = {
                f"{seed}-{number}": source.randbytes(
                    source.choice((0, 1, 100, 5000, 70_000))
                )
                for number in range(3)
            }
            data = b"".join(
                _encode(id, body, source.random() < 0.6, source)
                for id, body in bodies.items()
            )
            answers = await _send_cut(instance, data, source, len(bodies))
            assert [item.status for item in answers] == [200] * len(bodies)
            runs = _runs(fleet)
            assert {id: runs[id] for id in bodies} == bodies


REFUSALS = {
    "key": ("/look/x", "nobody", 1000, 3000, 401),
    "route": ("/none/x", KEY, 1000, 3000, 404),
    "size": ("/look/x", KEY, MAX_BODY_BYTES + 1, 3000, 413),
    "time": ("/look/x", KEY, 1000, 0, 503),
    "large body without a key": ("/look/x", "nobody", MAX_BODY_BYTES, 3000, 401),
}


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("case", REFUSALS)
async def test_what_the_head_tells_is_answered_without_the_body(
    case: str, is_chunked: bool
) -> None:
    """The body was read whole first, and a caller that held it back got no answer."""
    path, key, size, timeout_ms, status = REFUSALS[case]
    async with running_fleet() as fleet:
        fleet.configure(make_configuration(limits=LIMITS))
        async with running_one_instance(fleet) as instance:
            framing = f"Content-Length: {size}"
            if is_chunked:
                framing = "Transfer-Encoding: chunked"
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n"
                f"X-Cicadacourse-Request-Id: r\r\nAuthorization: Bearer {key}\r\n"
                f"X-Cicadacourse-Deadline-Ms: {timeout_ms}\r\n\r\n"
            )
            reader, writer = await asyncio.open_connection(
                instance.host, instance.caller_port
            )
            writer.write(head.encode())
            if is_chunked and case == "size":
                # The size of a body in chunks shows only once it has come.
                writer.write(b"%x\r\n%s" % (size, b"x" * size))
            response = await read_response(reader)
            assert response.status == status
            assert response.headers["connection"] == "close"
            # The rest may still come; then the connection ends without a reset.
            writer.write(b"x" * min(size, 1000))
            assert await reader.read() == b""
            writer.close()
            assert not _runs(fleet)


async def test_the_whole_of_a_large_body_may_follow_its_refusal() -> None:
    """A reset that overtakes the answer would leave the caller without one."""
    async with running_fleet() as fleet, running_one_instance(fleet) as instance:
        request = encode_request("/look/x", "r", 3000, "nobody", body=b"x" * 4_000_000)
        source = random.Random(1)
        (answer,) = await _send_cut(instance, request, source, 1)
        assert answer.status == 401


async def test_a_caller_is_told_to_send_its_body_once_that_is_wanted() -> None:
    """It was told so although its key was unknown."""
    async with running_fleet() as fleet, running_one_instance(fleet) as instance:
        for key, expected in ((KEY, b"100"), ("nobody", b"401")):
            request = encode_request(
                "/look/x", "r", 3000, key, body=b"x", headers={"Expect": "100-continue"}
            )
            reader, writer = await asyncio.open_connection(
                instance.host, instance.caller_port
            )
            writer.write(request[:-1])
            line = await reader.readline()
            assert line.split()[1] == expected
            if key == KEY:
                await reader.readline()
                writer.write(b"x")
                assert (await read_response(reader)).status == 200
            writer.close()
