"""Calls over real connections of one process: processor time and memory."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import capnp

from bench.control._sample import Meter, Sample
from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.membership import Member, Membership, MembershipSettings
from cicadacourse.membership._messages import Ping
from cicadacourse.peers import CapnpPeers, encode
from cicadacourse.util.clock import BoottimeEventLoop
from standins.ports import free_port

RECORDS = (0, 8, 64)
CONNECTIONS = (50, 150, 300)
_CALLS = 400
_TIMEOUT_S = 10.0
_WIRE_CALLS = 50
_WARM_UP_CALLS = 50
_READ_BYTES = 65536
_HOST = "127.0.0.1"


def measure(seed: int) -> list[list[Sample]]:
    """Returns samples of one call by its records, then of a number of connections."""
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        calls = [runner.run(_measure_calls(count)) for count in RECORDS]
        connections = [runner.run(_measure_connections(count)) for count in CONNECTIONS]
    return [calls, connections]


def _build_instance(name: str, port: int) -> Application:
    """Returns an instance that answers probes but sends none during a measurement."""
    instance = InstanceSettings(
        name=name,
        failure_domain="a",
        caller_address=f"{_HOST}:1",
        peer_address=f"{_HOST}:{port}",
    )
    quiet = MembershipSettings(probe_period_s=3600, sync_period_s=3600)
    app = Application(Settings(instance, quiet))
    app.add_service(CapnpPeers(app))
    app.add_service(Membership(app))
    return app


def _ping(record_count: int) -> Ping:
    sender = Member("entry-000", "10.0.0.1:7000", "10.0.0.1:8000", "dk-east", "a")
    deltas = tuple(
        Member(f"entry-{index:03d}", f"10.0.0.{index}:7000", f"10.0.0.{index}:8000")
        for index in range(record_count)
    )
    return Ping(sender=sender, deltas=deltas)


class _CountingRelay:
    """Forwards connections to an instance and counts their bytes in both directions."""

    def __init__(self, target_port: int) -> None:
        self.forwarded_bytes = 0
        self._target_port = target_port

    @contextlib.asynccontextmanager
    async def running(self, port: int) -> AsyncIterator[None]:
        """Listens on a port while the block runs."""
        async with await asyncio.start_server(self._relay, _HOST, port):
            yield

    async def _relay(self, reader: Any, writer: Any) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            _HOST, self._target_port
        )
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )

    async def _forward(self, reader: Any, writer: Any) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                self.forwarded_bytes += len(data)
                writer.write(data)
        writer.close()


async def _measure_wire(record_count: int) -> float:
    """Returns the bytes of one call and its reply, without TCP and IP headers."""
    ports = [free_port() for _ in range(3)]
    one, other = _build_instance("one", ports[0]), _build_instance("other", ports[1])
    relay, address = _CountingRelay(ports[1]), f"{_HOST}:{ports[2]}"
    async with capnp.kj_loop(), relay.running(ports[2]):
        async with one.running(), other.running():
            peers, request = one.get("peers"), _ping(record_count)
            await _call_repeatedly(peers, address, request, _WARM_UP_CALLS)
            before = relay.forwarded_bytes
            await _call_repeatedly(peers, address, request, _WIRE_CALLS)
            return (relay.forwarded_bytes - before) / _WIRE_CALLS


async def _call_repeatedly(
    peers: CapnpPeers, address: str, request: Ping, count: int
) -> Any:
    """Calls ``count`` times, one call after another, and returns the last reply."""
    for _ in range(count):
        reply = (await peers.call(address, request, _TIMEOUT_S)).unwrap()
    return reply


async def _measure_calls(record_count: int) -> Sample:
    ports = [free_port() for _ in range(2)]
    one, other = _build_instance("one", ports[0]), _build_instance("other", ports[1])
    async with capnp.kj_loop(), one.running(), other.running():
        peers, address = one.get("peers"), other.get("peers").address
        request = _ping(record_count)
        await _call_repeatedly(peers, address, request, _WARM_UP_CALLS)
        meter = Meter()
        reply = await _call_repeatedly(peers, address, request, _CALLS)
        cpu_us = meter.cpu_ms() * 1000 / _CALLS
    wire_bytes = await _measure_wire(record_count)
    payload_bytes = len(encode(request)) + len(encode(reply))
    figures = {
        "cpu_us_per_call_both_sides": cpu_us,
        "wire_bytes_both_ways": wire_bytes,
        "wire_bytes_over_messages": wire_bytes - payload_bytes,
    }
    return Sample("call over loopback", "records", record_count, figures)


async def _measure_connections(count: int) -> Sample:
    one, *others = [
        _build_instance(f"instance-{index}", port)
        for index, port in enumerate(free_port() for _ in range(count + 1))
    ]
    async with capnp.kj_loop(), contextlib.AsyncExitStack() as stack:
        for app in (one, *others):
            await stack.enter_async_context(app.running())
        peers, request = one.get("peers"), _ping(0)
        meter = Meter()
        for other in others:
            address = other.get("peers").address
            (await peers.call(address, request, _TIMEOUT_S)).unwrap()
        cpu_us, memory_kb = meter.cpu_ms() * 1000 / count, meter.memory_kb()
    figures = {
        "cpu_us_per_first_call_both_sides": cpu_us,
        "memory_kb_both_sides": memory_kb,
    }
    return Sample("first call on a connection", "connections", count, figures)
