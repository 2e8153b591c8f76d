"""Calls between instances as Cap'n Proto RPC over TCP."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import capnp
from returns.result import Failure, Result

from cicadacourse.application import SERVICES, Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.peers._codec import load_schema
from cicadacourse.peers._connection import Connection
from cicadacourse.peers._dispatch import Frame, from_frame
from cicadacourse.peers._framed import FramedPeers
from cicadacourse.peers._listener import PeerListener
from cicadacourse.resources import HeldKind, Resources
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("peers")

# A connection to a peer that is lost is replaced no more often than this.
MIN_REPLACEMENT_S = 1.0
# Connections that were answered no longer ago than this when another one was found
# silent have not fallen silent with it: calls wait no longer than this in most cases.
SILENCE_S = 1.0


# The class exists only once the schema file is loaded, so it has no static type.
_SchemaPeerServer: Any = load_schema("common").Peer.Server


class _PeerServer(_SchemaPeerServer):
    """Answers the calls of one connection."""

    def __init__(self, peers: CapnpPeers) -> None:
        self._peers = peers

    async def call_context(self, context: Any) -> None:
        """Answers one call; the handler keeps running if the call is cancelled."""
        request = context.params.request
        frame = Frame(request.name, request.body)
        reply = await asyncio.shield(self._peers.answer(frame, request.timeoutS))
        envelope = context.results.reply
        envelope.name = reply.name
        envelope.body = reply.body


@SERVICES.register("peers")
class CapnpPeers(FramedPeers):
    """Calls each peer over one connection, which one task keeps open.

    A connection without calls for ``idle_s`` is closed. The service must run inside
    ``capnp.kj_loop()``.
    """

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._connection_by_address: dict[str, Connection] = {}
        self._tasks = Tasks(app.metrics, "peers")
        self._has_ended = False

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listens on the peer address while the instance runs."""
        listener = PeerListener(
            self.address,
            self._resources.settings.peer_connections,
            self._serve,
            self.app.metrics,
        )
        async with listener.running():
            logger.info("listening on {}", self.address)
            try:
                yield
            finally:
                self._has_ended = True
        await self._tasks.cancel()

    @property
    def _resources(self) -> Resources:
        return self.app.get("resources")

    async def answer(self, frame: Frame, timeout_s: float) -> Frame:
        """Answers one frame, which is held meanwhile, and so is what is decoded."""
        with self._resources.account.holding(HeldKind.EXCHANGE) as holding:
            holding.resize(2 * len(frame.body))
            return await super().answer(frame, timeout_s)

    async def _exchange(
        self, address: str, frame: Frame, timeout_s: float
    ) -> Result[Any, Error]:
        if self._has_ended:
            return _unreachable(f"{address}: this instance is stopping")
        connection = self._get_connection(address)
        called_at = now()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await connection.call(frame, timeout_s)
        except TimeoutError:
            self._retire_if_silent(connection, called_at)
            return _unreachable(f"{address}: no answer in {timeout_s:g} s")
        except (OSError, capnp.KjException) as error:
            return _unreachable(f"{address}: {_first_line(error)}")
        self._retire_silent_siblings(connection)
        return from_frame(reply, self._settings.max_message_bytes)

    def _get_connection(self, address: str) -> Connection:
        """Returns the connection to an address, and opens one if there is none."""
        connection = self._connection_by_address.get(address)
        if connection is None or connection.retired:
            replaced_at = now() if connection is not None else None
            connection = Connection(address, self._settings, replaced_at)
            self._connection_by_address[address] = connection
            self._tasks.start(self._maintain(connection), "connection")
        return connection

    async def _maintain(self, connection: Connection) -> None:
        try:
            await connection.maintain()
        finally:
            connection.retired = True
            if self._connection_by_address.get(connection.address) is connection:
                del self._connection_by_address[connection.address]

    def _retire_if_silent(self, connection: Connection, called_at: float) -> None:
        """Makes later calls open a new connection if this one has fallen silent.

        The peer may be lost, or only the connection: after a network partition, it
        would resume only when TCP retransmits, which may take minutes.

        :param called_at: when a call was made that timed out, loop time in seconds.
        """
        replaced_at = connection.replaced_at
        if replaced_at is not None and now() - replaced_at < MIN_REPLACEMENT_S:
            return
        if connection.is_silent_since(called_at):
            connection.retired = True

    def _retire_silent_siblings(self, connection: Connection) -> None:
        """Gives up connections that may have fallen silent together with another one.

        The peer answers on the connection that replaced it, so the peer was not lost.
        """
        replaced_at, connection.replaced_at = connection.replaced_at, None
        if replaced_at is None:
            return
        for sibling in self._connection_by_address.values():
            is_proven = sibling.answered_at >= replaced_at - SILENCE_S
            if sibling is not connection and not is_proven:
                sibling.retired = True

    async def _serve(self, stream: Any) -> None:
        """Serves one connection of a peer until it ends."""
        limit_words = self._settings.max_message_bytes // 4
        server = capnp.TwoPartyServer(
            stream, bootstrap=_PeerServer(self), traversal_limit_in_words=limit_words
        )
        try:
            await server.on_disconnect()
        except capnp.KjException as error:
            logger.debug("connection of a peer ended: {}", _first_line(error))
        finally:
            stream.close()


def _unreachable(detail: str) -> Result[Any, Error]:
    return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))


def _first_line(error: BaseException) -> str:
    return str(error).partition("\n")[0] or type(error).__name__
