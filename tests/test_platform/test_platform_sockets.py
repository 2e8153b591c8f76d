"""The options of all TCP sockets that the libraries open, read back from the sockets.

A ``TCP_USER_TIMEOUT`` that a library sets by itself would also decide when keep-alive
probes give up, and would end connections beside a silence of their other end.
"""

from __future__ import annotations

import contextlib
import os
import socket
from typing import Iterator

from standins.callers import read_response
from standins.ports import next_host
from tests.platform_fleet import (
    PEER_PORT,
    Caller,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

KEEPALIVE_IDLE_S = 60


@contextlib.contextmanager
def _own_sockets() -> Iterator[list[socket.socket]]:
    """Yields copies of all TCP sockets of this process."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for number in os.listdir("/proc/self/fd"):
            with contextlib.suppress(OSError):
                item = stack.enter_context(socket.socket(fileno=os.dup(int(number))))
                if item.family == socket.AF_INET and item.type == socket.SOCK_STREAM:
                    sockets.append(item)
        yield sockets


def _is_connected(item: socket.socket) -> bool:
    try:
        item.getpeername()
    except OSError:
        return False
    return True


def _user_timeout_ms(item: socket.socket) -> int:
    return item.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def _keepalive(item: socket.socket) -> tuple[bool, int]:
    """Returns whether keep-alive is on, and after which idle time, in seconds."""
    is_on = bool(item.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
    return is_on, item.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)


async def test_no_library_sets_a_user_timeout_and_keepalive_of_peers_holds() -> None:
    async with running_fleet() as fleet:
        one = make_instance(fleet, "one", next_host())
        seeds = (f"{one.host}:{PEER_PORT}",)
        two = make_instance(fleet, "two", next_host(), seeds=seeds)
        async with running_instance(one), running_instance(two):
            membership = one.app.get("membership")
            await wait_until(lambda: len(membership.members()) == 2)
            reader, writer = await Caller(one).open("/book/x")
            assert (await read_response(reader)).status == 200
            endpoints = {
                int(item.address.rpartition(":")[2])
                for item in fleet.endpoint_by_id.values()
            }
            store = int(fleet.store_address.rpartition(":")[2])
            with _own_sockets() as sockets:
                assert not any(_user_timeout_ms(item) for item in sockets)
                connected = [item for item in sockets if _is_connected(item)]
                ports = {item.getpeername()[1] for item in connected}
                # Connections that curl, asyncio and pycapnp have opened.
                assert store in ports and ports & endpoints and PEER_PORT in ports
                own_ports = {item.getsockname()[1] for item in connected}
                # Connections that tornado and pycapnp have accepted.
                assert one.caller_port in own_ports
                accepted = [
                    item for item in connected if item.getsockname()[1] == PEER_PORT
                ]
                assert accepted
                for item in accepted:
                    assert _keepalive(item) == (True, KEEPALIVE_IDLE_S)
            writer.close()
