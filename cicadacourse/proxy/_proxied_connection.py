"""A connection to an endpoint at another instance, for one exchange."""

from __future__ import annotations

import asyncio
from typing import Any

from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import (
    EndpointConnection,
    EndpointRequest,
    EndpointResponse,
    ResponseHead,
    SendFailure,
    check_status,
)
from cicadacourse.membership import Member
from cicadacourse.peers import Peers
from cicadacourse.proxy._copies import holding_copies
from cicadacourse.proxy._messages import (
    REASON_NOT_SENT,
    CloseProxied,
    OpenProxied,
    ProxiedPiece,
    ReadProxied,
    SendProxied,
)
from cicadacourse.proxy._pieces import PIECE_WAIT_S
from cicadacourse.resources import MemoryAccount
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

# How long a call to the peer may take beyond its own wait until it is made again. A
# call that is lost is repeated before the peer cancels the exchange.
REPLY_MARGIN_S = 0.05
# A long request is repeated only if it can't have arrived at this rate.
SEND_BYTES_PER_S = 10_000_000
# How long a peer may be silent until it is lost.
PEER_SILENCE_S = 0.4
# The delay before a call to a peer is repeated that failed at once.
RETRY_DELAY_S = 0.05
# While the caller takes its time to read, the peer is told this often that the exchange
# goes on.
KEEP_ALIVE_S = 0.1
CLOSE_TIMEOUT_S = 0.2

REASON_PEER_LOST = "peer_lost"


class ProxiedConnection(EndpointConnection):
    """A direct connection of another instance, used by calls to it.

    :param peer: the other instance.
    :param exchange_id: identifies the exchange at the peer.
    :param tasks: the tasks of the service.
    :ivar closes_kept: whether the peer also closes its kept connections to the
        endpoint.
    """

    def __init__(
        self,
        app: Application,
        peer: Member,
        endpoint: Endpoint,
        exchange_id: str,
        tasks: Tasks,
    ) -> None:
        self.via = peer.name
        self.endpoint = endpoint
        self.closes_kept = False
        self._peers: Peers = app.get("peers")
        self._account: MemoryAccount = app.get("resources").account
        self._own_name = app.settings.get(InstanceSettings).name
        self._peer = peer
        self._exchange_id = exchange_id
        self._tasks = tasks
        self._is_over = False
        self._abort_detail: str | None = None
        self._abort_scope: asyncio.Timeout | None = None
        self._keep_alive: asyncio.TimerHandle | None = None
        self._number = 0

    async def open(
        self, request: EndpointRequest, is_idempotent: bool, timeout_s: float
    ) -> Error | None:
        """Asks the peer for a connection; returns None once it is there."""
        message = OpenProxied(
            exchange=self._exchange_id,
            sender=self._own_name,
            request=request.caller.id,
            endpoint=request.endpoint,
            is_idempotent=is_idempotent,
            needs_new_connection=request.needs_new_connection,
            body_bytes=len(request.caller.body),
        )
        match await self._peers.call(self._peer.peer_address, message, timeout_s):
            case Success(reply):
                self.is_kept = reply.is_kept
                return None
            case Failure(Error() as error):
                self._is_over = error.kind is not ErrorKind.PEER_UNREACHABLE
                return error
        raise AssertionError("a result is a success or a failure")

    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request; see :meth:`EndpointConnection.send`."""
        message = SendProxied(
            exchange=self._exchange_id, request=request, head_timeout_s=head_timeout_s
        )
        size = len(request.caller.body)
        async with holding_copies(self._account, size):
            piece = await self._call(message, size / SEND_BYTES_PER_S)
        if piece.is_pending:
            piece = await self._read()
        self._check(piece)
        if piece.head is None:
            raise SendFailure("no response head was received", True, "malformed_answer")
        # A peer of an earlier release does not check it.
        check_status(piece.head)
        return _ProxiedResponse(piece.head, self)

    async def read_next(self) -> ProxiedPiece:
        """Returns the next piece of the response.

        :raises SendFailure: if the response breaks off, or the peer is lost.
        """
        self._number += 1
        piece = await self._read()
        self._check(piece)
        return piece

    def abort(self) -> None:
        """Ends the exchange, as its endpoint is known to be dead."""
        self._abort_detail = "the endpoint is dead"
        if self._abort_scope is not None:
            self._abort_scope.reschedule(now())

    def close(self) -> None:
        """Ends the exchange at the peer, without waiting for that."""
        self._stop_keep_alive()
        if not self._is_over:
            self._is_over = True
            self._tasks.start(self._close())

    async def _close(self) -> None:
        # A peer that isn't reached ends the exchange by itself.
        message = CloseProxied(exchange=self._exchange_id, closes_kept=self.closes_kept)
        await self._peers.call(self._peer.peer_address, message, CLOSE_TIMEOUT_S)

    async def _read(self) -> ProxiedPiece:
        """Returns the piece that is due once it has come."""
        message = ReadProxied(exchange=self._exchange_id, number=self._number)
        while True:
            piece = await self._call(message)
            if not piece.is_pending:
                return piece

    def _check(self, piece: ProxiedPiece) -> None:
        """Notes the end of the response.

        :raises SendFailure: if the response has failed at the peer.
        """
        if piece.is_last:
            self._is_over = True
            self._stop_keep_alive()
        if piece.failure is not None:
            raise piece.failure.to_exception()

    async def _call(self, message: Any, transfer_s: float = 0.0) -> ProxiedPiece:
        """Calls the peer, again if it is silent; each call is safe to repeat.

        :param transfer_s: seconds that the message itself may take.
        :raises SendFailure: if the peer is lost, or the exchange is aborted.
        """
        self._stop_keep_alive()
        if self._abort_detail is not None:
            raise self._make_abort_failure(self._abort_detail)
        try:
            async with asyncio.timeout(None) as self._abort_scope:
                return await self._call_until_lost(message, transfer_s)
        except TimeoutError:
            detail = self._abort_detail or "aborted"
            raise self._make_abort_failure(detail) from None
        finally:
            self._abort_scope = None
            self._start_keep_alive()

    async def _call_until_lost(self, message: Any, transfer_s: float) -> ProxiedPiece:
        started = now()
        timeout_s = PIECE_WAIT_S + REPLY_MARGIN_S + transfer_s
        while True:
            called_at = now()
            result = await self._peers.call(self._peer.peer_address, message, timeout_s)
            match result:
                case Success(ProxiedPiece() as piece):
                    return piece
                case Failure(Error() as error):
                    pass
                case _:
                    raise self._make_lost_failure("unexpected reply", True)
            if error.kind is not ErrorKind.PEER_UNREACHABLE:
                is_sent = error.reason != REASON_NOT_SENT
                raise self._make_lost_failure(error.detail, is_sent)
            if now() - started >= PEER_SILENCE_S + transfer_s:
                raise self._make_lost_failure(error.detail, True)
            if now() - called_at < RETRY_DELAY_S:
                await asyncio.sleep(RETRY_DELAY_S)

    def _make_lost_failure(self, detail: str, may_have_run: bool) -> SendFailure:
        detail = f"instance {self.via} was lost: {detail}"
        return SendFailure(detail, may_have_run, REASON_PEER_LOST, is_peer_lost=True)

    def _make_abort_failure(self, detail: str) -> SendFailure:
        return SendFailure(detail, True, "cut_short", is_broken_off=True)

    def _start_keep_alive(self) -> None:
        loop = asyncio.get_running_loop()
        self._keep_alive = loop.call_later(KEEP_ALIVE_S, self._send_keep_alive)

    def _stop_keep_alive(self) -> None:
        if self._keep_alive is not None:
            self._keep_alive.cancel()
            self._keep_alive = None

    def _send_keep_alive(self) -> None:
        self._start_keep_alive()
        message = ReadProxied(
            exchange=self._exchange_id, number=self._number, is_keep_alive=True
        )
        address = self._peer.peer_address
        self._tasks.start(self._peers.call(address, message, CLOSE_TIMEOUT_S))


class _ProxiedResponse(EndpointResponse):
    """A response whose pieces are asked for one by one."""

    def __init__(self, head: ResponseHead, connection: ProxiedConnection) -> None:
        self.head = head
        self._connection = connection
        self._is_complete = False

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or none at its end.

        :raises SendFailure: if the response breaks off, or the peer is lost.
        """
        if self._is_complete:
            return b""
        piece = await self._connection.read_next()
        self._is_complete = piece.is_end
        return piece.data
