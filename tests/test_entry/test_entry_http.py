"""The callers' server over real sockets: bad input, early refusals, lost callers."""

from __future__ import annotations

import asyncio
import contextlib
import json

import attrs
import pytest

from bench.fleet import free_addresses
from cicadacourse.caller import COMPLETE, Caller
from cicadacourse.config import InstanceSettings
from cicadacourse.entry import EntrySettings
from standins.engine import expected_text
from tests.entry_instance import World, request_body, running_instance

LIMIT_BYTES = 4096


@contextlib.asynccontextmanager
async def listening_instance(world=None, **entry_settings):
    """Yields an application whose entry service listens, and its address."""
    (address,) = free_addresses(1)
    async with running_instance(world or World.make()) as app:
        entry = app.get("entry")
        instance = app.settings.get(InstanceSettings)
        entry._instance = attrs.evolve(instance, caller_address=address)
        options = {"body_limit_bytes": LIMIT_BYTES, "body_timeout_s": 0.5}
        settings = EntrySettings(**{**options, **entry_settings})
        entry._settings = settings
        app.settings._by_class[EntrySettings] = settings
        async with entry.running():
            yield app, address


async def exchange(address, data, close_early=False):
    """Sends bytes and returns status and JSON of the answer; None if there is none."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        await writer.drain()
        if close_early:
            return None
        async with asyncio.timeout(20):
            head = await reader.readuntil(b"\r\n\r\n")
            length = [
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length")
            ]
            body = await reader.readexactly(length[0])
        return int(head.split()[1]), json.loads(body)
    finally:
        writer.close()


def post(body, length=None, path="/v1/requests"):
    length = len(body) if length is None else length
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


BAD_REQUESTS = {
    "not json": (post(b"{"), 400, "bad_request"),
    "not an object": (post(b"[]"), 400, "bad_request"),
    "empty": (post(b""), 400, "bad_request"),
    "no route": (post(request_body(route="none")), 404, "unknown_route"),
    "negative limit": (post(request_body(max_tokens=-1)), 400, "bad_request"),
    "declared too large": (post(b"", length=LIMIT_BYTES + 1), 413, "too_large"),
    "declared huge": (post(b"", length=10**15), 413, "too_large"),
    "half sent": (post(b"{", length=100), 400, "bad_request"),
    "unknown path": (post(b"", path="/v2"), 404, "bad_request"),
    "wrong method": (
        b"PUT /v1/requests HTTP/1.1\r\nHost: x\r\n\r\n",
        405,
        "bad_request",
    ),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
async def test_bad_requests_get_a_clear_error_and_disturb_nothing(name):
    data, status, kind = BAD_REQUESTS[name]
    async with listening_instance() as (app, address):
        asking = asyncio.create_task(ask(address))
        answer = await exchange(address, data)
        assert answer[0] == status
        assert answer[1]["error"]["kind"] == kind
        assert answer[1]["error"]["run"] == "not_run"
        assert (await asking).outcome == COMPLETE
        assert await idle(app)


async def test_a_chunked_body_is_bounded_too():
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    head = b"POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    async with listening_instance() as (app, address):
        answer = await exchange(address, head + chunk * 4 + b"1\r\nx\r\n")
        assert (answer[0], answer[1]["error"]["kind"]) == (413, "too_large")
        assert await idle(app)


async def test_a_caller_that_leaves_in_mid_body_frees_its_place():
    async with listening_instance(body_timeout_s=60) as (app, address):
        await exchange(address, post(b"{", length=100), close_early=True)
        assert await idle(app)


async def test_a_full_instance_refuses_before_it_reads_the_body():
    async with listening_instance(max_in_progress=1, body_timeout_s=60) as (_, address):
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(post(b"{", length=100))
        await asyncio.sleep(0.2)
        answer = await exchange(address, post(b"{", length=100))
        assert (answer[0], answer[1]["error"]["kind"]) == (503, "overloaded")
        assert answer[1]["error"]["retry_after_s"] > 0
        writer.close()


async def test_operators_paths_answer():
    async with listening_instance() as (app, address):
        for path, field in (
            ("/health", "health"),
            ("/ready", "ready"),
            ("/v1/addresses", "keep_s"),
            ("/v1/status", "tables_version"),
        ):
            data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            status, body = await exchange(address, data)
            assert status == 200 and field in body
        app.get("entry").leaving = True
        data = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        status, body = await exchange(address, data)
        assert (status, body["reason"]) == (503, "leaving")


async def ask(address):
    with contextlib.closing(Caller([address])) as caller:
        # The address of the look-up is the one of the settings, not of this test.
        caller._found, caller._keep_until = [address], float("inf")
        reply = await caller.ask(json.loads(request_body()))
        assert reply.text == expected_text("a question", 40)
        return reply


async def idle(app):
    """Waits until no request is held."""
    async with asyncio.timeout(20):
        while app.metrics.value("requests_in_progress"):
            await asyncio.sleep(0.02)
    return True
