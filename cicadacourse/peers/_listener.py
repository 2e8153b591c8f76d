"""Accepts connections of other instances, in bounded number."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any, AsyncIterator, Awaitable, Callable

import capnp

from cicadacourse.metrics import Metrics, declare
from cicadacourse.tasks import Tasks
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now

CONNECTIONS = declare("peer_connections", "Connections that other instances have open.")
REFUSED = declare(
    "peer_connections_refused_total",
    "Connections to the listener for instances that were closed, by reason.",
)

_KEEPALIVE_IDLE_S = 60
_LISTEN_BACKLOG = 256
# An instance sends its first message at once. Until then a connection has little room,
# so that clients that are no instances can't fill the memory.
FIRST_MESSAGE_TIMEOUT_S = 2.0
MAX_FIRST_MESSAGE_WORDS = 1024
# The number of segments less one, and the words of the first one.
_FRAME = struct.Struct("<II")
_POLL_PERIOD_S = 0.02
# Pause after a failure to accept, such as when the process has no descriptor left.
_ACCEPT_BACKOFF_S = 0.05


class PeerListener:
    """Accepts connections and serves those that begin as those of instances do.

    At its limit it closes the connection that has waited longest for its first message,
    or else the new one.

    :param serve: serves one connection until it ends.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        serve: Callable[[Any], Awaitable[None]],
        metrics: Metrics,
    ) -> None:
        self._socket = _listening_socket(address)
        self._max_connections = max_connections
        self._serve = serve
        self._metrics = metrics
        self._tasks = Tasks(metrics, "peers")
        # Tasks whose connection has not sent a first message, by the time they began.
        self._began_at_by_task: dict[asyncio.Task[Any], float] = {}

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Accepts connections while the context is open, and then closes them."""
        accepting = Tasks(self._metrics, "peers")
        accepting.keep("accept", self._accept_all)
        try:
            yield
        finally:
            await accepting.cancel()
            self._socket.close()
            await self._tasks.cancel()

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(self._socket)
            except OSError:
                await asyncio.sleep(_ACCEPT_BACKOFF_S)
                continue
            if len(self._tasks) >= self._max_connections and not self._make_place():
                self._metrics.count(REFUSED, reason="limit")
                connection.close()
                continue
            task = self._tasks.start(self._run(connection), "connection")
            self._began_at_by_task[task] = now()
            task.add_done_callback(self._forget)
            self._metrics.set(CONNECTIONS, len(self._tasks))

    def _make_place(self) -> bool:
        """Closes a connection without a first message; returns whether there is one."""
        if not self._began_at_by_task:
            return False
        oldest = min(self._began_at_by_task, key=self._began_at_by_task.__getitem__)
        del self._began_at_by_task[oldest]
        oldest.cancel()
        self._metrics.count(REFUSED, reason="replaced")
        return True

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._began_at_by_task.pop(task, None)
        self._metrics.set(CONNECTIONS, len(self._tasks))

    async def _run(self, connection: socket.socket) -> None:
        """Serves one connection, if it begins as one of an instance does."""
        try:
            is_instance = await _begins_well(connection)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not is_instance:
            self._metrics.count(REFUSED, reason="first_message")
            connection.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._began_at_by_task.pop(task, None)
        # The stream closes the socket.
        stream = await capnp.AsyncIoStream.create_connection(sock=connection)
        await self._serve(stream)


async def _begins_well(connection: socket.socket) -> bool:
    """Returns whether the first message has come, in time, and is a small one.

    It is left in the socket.
    """
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
            start = await _peek(connection)
            further_segments, words = _FRAME.unpack(start)
            return further_segments == 0 and words <= MAX_FIRST_MESSAGE_WORDS
    return False


async def _peek(connection: socket.socket) -> bytes:
    """Returns the begin of the first message.

    :raises OSError: if the connection ends before it.
    """
    await _wait_until_readable(connection)
    while True:
        start = connection.recv(_FRAME.size, socket.MSG_PEEK)
        if len(start) == _FRAME.size:
            return start
        if not start:
            raise ConnectionResetError("the connection has ended")
        # The socket stays readable, whether more comes or not.
        await asyncio.sleep(_POLL_PERIOD_S)


async def _wait_until_readable(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    readable: asyncio.Future[None] = loop.create_future()

    def set_readable() -> None:
        if not readable.done():
            readable.set_result(None)

    loop.add_reader(connection, set_readable)
    try:
        await readable
    finally:
        loop.remove_reader(connection)


def _listening_socket(address: str) -> socket.socket:
    """Returns a listening socket whose connections detect a vanished peer."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets that name their protocol.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    listener.bind((host, port))
    listener.listen(_LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
