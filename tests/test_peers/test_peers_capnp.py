"""Tests of calls between instances over TCP connections.

They guard against replies that reach the wrong call, and against connections that stay
unusable after a timeout, a crash, malformed bytes or a partition.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import socket
import subprocess
import sys

import capnp
import pytest
from returns.result import Failure, Success

from cicadacourse.errors import ErrorKind
from cicadacourse.membership import Member
from cicadacourse.peers import PeersSettings
from cicadacourse.peers._capnp import SILENCE_S
from cicadacourse.peers._listener import _listening_socket
from soak._proxy import Proxy
from standins.ports import free_port
from tests.test_peers.echo_process import ACK, build, ping

ROOT = pathlib.Path(__file__).parents[2]
OK = Success(ACK)
LIMIT_S = 10.0
REFUSED_KINDS = {ErrorKind.TOO_LARGE, ErrorKind.PEER_UNREACHABLE}


@contextlib.asynccontextmanager
async def running_pair():
    """Yields the ``peers`` service of one instance and the address of another."""
    one, other = build("e1", free_port()), build("e2", free_port())
    async with capnp.kj_loop(), one.running(), other.running():
        yield one.get("peers"), other.get("peers").address


@contextlib.contextmanager
def echo_process(port):
    """Runs an instance as a separate process."""
    command = [sys.executable, "-m", "tests.test_peers.echo_process", "e2", str(port)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
    try:
        process.stdout.readline()
        yield process
    finally:
        process.kill()
        process.communicate()


async def call_until_reached(peers, address):
    async with asyncio.timeout(LIMIT_S):
        while True:
            result = await peers.call(address, ping(), 1.0)
            if result == OK:
                return
            assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
            await asyncio.sleep(0.05)


async def test_concurrent_calls_on_one_connection_get_their_own_replies():
    async with running_pair() as (peers, address):
        members = [(Member(f"m{index}", "1.2.3.4:5"),) for index in range(50)]
        replies = await asyncio.gather(
            *(peers.call(address, ping(deltas=one), LIMIT_S) for one in members)
        )
        assert [reply.unwrap().deltas for reply in replies] == members


async def test_a_cancelled_or_timed_out_call_leaves_the_connection_usable():
    async with running_pair() as (peers, address):
        slow = ping(target="60")
        task = asyncio.create_task(peers.call(address, slow, LIMIT_S))
        await asyncio.sleep(0.1)
        task.cancel()
        assert (await asyncio.gather(task, return_exceptions=True))[0] is not None
        result = await peers.call(address, slow, 0.2)
        assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        assert await peers.call(address, ping(), LIMIT_S) == OK


async def test_an_instance_is_reachable_once_it_starts():
    one, other = build("e1", free_port()), build("e2", free_port())
    async with capnp.kj_loop(), one.running():
        peers, address = one.get("peers"), other.get("peers").address
        result = await peers.call(address, ping(), LIMIT_S)
        assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        async with other.running():
            await call_until_reached(peers, address)


async def test_calls_recover_after_a_process_is_stopped_killed_and_replaced():
    port = free_port()
    address = f"127.0.0.1:{port}"
    one = build("e1", free_port())
    async with capnp.kj_loop(), one.running():
        peers = one.get("peers")
        with echo_process(port) as process:
            await call_until_reached(peers, address)
            process.send_signal(signal.SIGSTOP)
            result = await peers.call(address, ping(), 0.3)
            assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
            process.send_signal(signal.SIGCONT)
            await call_until_reached(peers, address)
            waiting = asyncio.create_task(peers.call(address, ping(target="60"), 60.0))
            await asyncio.sleep(0.1)
            process.kill()
            async with asyncio.timeout(LIMIT_S):
                result = await waiting
            assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        with echo_process(port):
            await call_until_reached(peers, address)


async def test_malformed_bytes_on_a_connection_affect_no_other():
    async with running_pair() as (peers, address):
        assert await peers.call(address, ping(), LIMIT_S) == OK
        host, port = address.split(":")
        for garbage in (b"\xff" * 4096, b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 7):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(garbage)
            await writer.drain()
            writer.close()
        assert await peers.call(address, ping(), LIMIT_S) == OK


@pytest.mark.parametrize("name_bytes", [1500, 200_000])
@pytest.mark.parametrize("strict", ["sender", "receiver"])
async def test_an_oversized_message_is_refused_and_later_ones_pass(name_bytes, strict):
    small = PeersSettings(max_message_bytes=1024)
    one = build("e1", free_port(), small if strict == "sender" else None)
    other = build("e2", free_port(), small if strict == "receiver" else None)
    async with capnp.kj_loop(), one.running(), other.running():
        peers, address = one.get("peers"), other.get("peers").address
        result = await peers.call(address, ping(target="x" * name_bytes), LIMIT_S)
        assert result.failure().kind in REFUSED_KINDS
        await call_until_reached(peers, address)


async def test_an_unresponsive_connection_is_replaced():
    one, other = build("e1", free_port()), build("e2", free_port())
    async with capnp.kj_loop(), one.running(), other.running():
        peers, address = one.get("peers"), other.get("peers").address
        assert await peers.call(address, ping(), LIMIT_S) == OK
        unresponsive = peers._connection_by_address[address]
        await peers.call(address, ping(target="5"), 0.1)
        assert await peers.call(address, ping(), LIMIT_S) == OK
        assert peers._connection_by_address[address] is not unresponsive


async def test_silent_connections_are_replaced_after_one_call_each_at_most():
    """Open connections fall silent for good while new ones work.

    Calls on them failed for three seconds, so that instances suspected each other.
    """
    one = build("e1", free_port())
    others = [build(f"e{number}", free_port()) for number in (2, 3, 4)]
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        proxies = []
        for app in (one, *others):
            await stack.enter_async_context(app.running())
        for app in others:
            address = f"127.0.0.1:{free_port()}"
            proxies.append(Proxy(address, app.get("peers").address))
            await stack.enter_async_context(proxies[-1].running())
        peers = one.get("peers")
        for proxy in proxies:
            assert await peers.call(proxy.address, ping(), LIMIT_S) == OK
        await asyncio.sleep(SILENCE_S)
        for proxy in proxies:
            proxy.silence_open_connections()
        result = await peers.call(proxies[0].address, ping(), 0.2)
        assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        for proxy in proxies:
            assert await peers.call(proxy.address, ping(), 1.0) == OK


async def test_a_call_that_is_slow_beside_answered_ones_keeps_its_connection():
    async with running_pair() as (peers, address):
        assert await peers.call(address, ping(), LIMIT_S) == OK
        connection = peers._connection_by_address[address]
        slow = asyncio.create_task(peers.call(address, ping(target="60"), 0.3))
        await asyncio.sleep(0.1)
        assert await peers.call(address, ping(), LIMIT_S) == OK
        assert isinstance(await slow, Failure)
        assert await peers.call(address, ping(), LIMIT_S) == OK
        assert peers._connection_by_address[address] is connection


@pytest.mark.parametrize("protocol", [socket.IPPROTO_TCP, 0])
async def test_replies_are_sent_without_delay(protocol):
    """Nagle's algorithm, which delays small replies, is off.

    In the second case the socket does not name its protocol, and asyncio leaves it on.
    """
    port = free_port()
    listener = _listening_socket(f"127.0.0.1:{port}")
    if not protocol:
        listener.close()
        listener = socket.create_server(("127.0.0.1", port))
    accepted = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set_result(writer), sock=listener
    )
    async with server:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(LIMIT_S):
            answering = await accepted
        raw = answering.get_extra_info("socket")
        no_delay = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert bool(no_delay) == bool(protocol)
        writer.close()
        answering.close()


async def test_a_connection_that_breaks_during_setup_is_retried(monkeypatch):
    make = capnp.TwoPartyClient

    def break_once(*_, **__):
        monkeypatch.setattr(capnp, "TwoPartyClient", make)
        raise capnp.KjException("reset while it was set up")

    async with running_pair() as (peers, address):
        monkeypatch.setattr(capnp, "TwoPartyClient", break_once)
        result = await peers.call(address, ping(), 3.0)
        assert "reset while it was set up" in result.failure().detail
        await call_until_reached(peers, address)


async def test_a_call_after_the_end_of_the_service_opens_no_connection():
    """A call by a service that stops later opened one that nothing closed.

    Its task ended with a traceback once the instance had stopped.
    """
    one, other = build("e1", free_port()), build("e2", free_port())
    async with capnp.kj_loop(), other.running():
        async with one.running():
            peers = one.get("peers")
        result = await peers.call(other.get("peers").address, ping(), LIMIT_S)
        assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        assert not peers._tasks
