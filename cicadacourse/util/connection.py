"""An HTTP/1.1 client connection that reports whether it may be reused.

The curl client does not show which connection a response came from, and it resends a
request on its own when a kept-alive connection breaks. That would execute a call twice
that must be executed at most once, so this connection is built on an asyncio transport
and the h11 codec.
"""

from __future__ import annotations

import asyncio
import collections
from typing import Callable, Sequence

import h11

from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now
from cicadacourse.util.request_sender import RequestSender, encode_start
from cicadacourse.util.response_decoder import (
    MAX_HEAD_BYTES,
    MalformedResponse,
    ResponseDecoder,
    ResponsePart,
)
from cicadacourse.util.slices import schedule_slice

# The connection stops reading from its socket above this size of unread response body.
MAX_BUFFERED_BYTES = 262_144


class HttpConnectionError(Exception):
    """The connection failed, or its bytes are not the expected HTTP response."""


class HttpConnection(asyncio.Protocol):
    """A connection that carries one request and its response at a time.

    :param address: ``IP:port`` of the server.
    :ivar idle_since: when the last exchange ended, loop time in seconds.
    :ivar keep_alive_s: how many seconds from then the connection may be reused.
    :ivar on_buffered: called with the bytes that it buffers, when they change.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.on_buffered: Callable[[int], None] | None = None
        self.idle_since = 0.0
        self.keep_alive_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._sender: RequestSender | None = None
        self._codec = _new_codec()
        self._decoder = ResponseDecoder(self._codec)
        self._parts: collections.deque[ResponsePart] = collections.deque()
        self._buffered_bytes = 0
        self._is_decoding_scheduled = False
        self._state_changed = asyncio.Event()
        self._error: str | None = None
        self._busy = False

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> HttpConnection:
        """Opens a connection.

        :raises HttpConnectionError: if it can't be opened within ``timeout_s``.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(address), host, port
                )
        except TimeoutError:
            raise HttpConnectionError(
                f"not connected within {timeout_s:.2f} s"
            ) from None
        except OSError as error:
            raise HttpConnectionError(f"cannot connect: {error}") from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection now."""
        if self._error or self._busy or self._transport is None:
            return False
        if self._transport.is_closing():
            return False
        return now() - self.idle_since < self.keep_alive_s

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Writes a request, as fast as the server takes it; never waits.

        :raises HttpConnectionError: if the connection is not open.
        :raises h11.LocalProtocolError: if the request is malformed.
        """
        if self._error or self._sender is None:
            raise HttpConnectionError(self._error or "not connected")
        start = encode_start(self._codec, method, target, headers, body)
        self._busy = True
        self._decoder.start_response()
        self._sender.send(start, body)
        self._report_buffered()

    def pause_writing(self) -> None:
        """Stops sending the body; called by asyncio."""
        if self._sender is not None:
            self._sender.pause()

    def resume_writing(self) -> None:
        """Sends more of the body; called by asyncio."""
        if self._sender is not None:
            self._sender.resume()
            self._report_buffered()

    def _report_buffered(self) -> None:
        if self.on_buffered is not None and self._sender is not None:
            held = self._buffered_bytes + self._sender.buffered_bytes
            self.on_buffered(0 if self._error else held)

    async def receive(self) -> ResponsePart:
        """Waits for the next part of the response and returns it.

        Chunks of the body that have come together are one part.

        :raises HttpConnectionError: if the connection ends before the response does.
        """
        while not self._parts:
            if self._error:
                raise HttpConnectionError(self._error)
            self._state_changed.clear()
            await self._state_changed.wait()
        part = self._parts.popleft()
        if isinstance(part, h11.Data):
            part = self._join_data(part)
        if not self._parts:
            self._read_on()
        return part

    def _join_data(self, first: h11.Data) -> h11.Data:
        """Returns a part of the body together with those that are queued behind it."""
        chunks = [first.data]
        while self._parts and isinstance(part := self._parts[0], h11.Data):
            chunks.append(part.data)
            self._parts.popleft()
        self._buffered_bytes -= sum(map(len, chunks))
        self._report_buffered()
        return first if len(chunks) == 1 else h11.Data(data=b"".join(chunks))

    def _read_on(self) -> None:
        """Decodes what has come, before more is read from the socket."""
        if self._transport is None:
            return
        if self._decoder.has_undecoded:
            self._schedule_decoding()
        else:
            self._transport.resume_reading()

    def end_exchange(self, keep_alive_s: float) -> None:
        """Makes the connection ready for the next request.

        Closes it instead if the exchange is incomplete, if the server does not keep the
        connection alive, or if more bytes follow the response.

        :param keep_alive_s: how many seconds from now the connection may be reused.
        """
        is_done = (
            self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        )
        trailing_bytes, _ = self._codec.trailing_data
        if not is_done or trailing_bytes or self._parts or self._has_unsent_bytes():
            self.close()
            return
        self._codec.start_next_cycle()
        self._busy = False
        self.idle_since = now()
        self.keep_alive_s = keep_alive_s

    def close(self) -> None:
        """Closes the connection at once."""
        self.fail("closed")

    def fail(self, detail: str) -> None:
        """Aborts the connection; an exchange in progress fails with ``detail``."""
        self._error = self._error or detail
        if self._transport is not None:
            self._transport.abort()
        if self._sender is not None:
            self._sender.stop()
        self._report_buffered()
        self._state_changed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._sender = RequestSender(transport)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the codec; called by asyncio.

        Bytes outside an exchange end the connection, so that they can't be taken for
        the next response.
        """
        if not self._busy:
            self.fail("received bytes without a request")
            return
        self._receive(data, "malformed response")

    def eof_received(self) -> bool:
        """Handles the end of the server's stream of bytes; called by asyncio.

        It ends a response without a length, but not while the request is still being
        sent: such a server is in trouble and mostly resets the connection next.
        """
        if self._busy and self._sender is not None and self._sender.is_in_transit:
            self.fail("closed by the server before it had the whole request")
            return False
        self._receive(b"", "incomplete response")
        if not self._busy:
            self.fail("closed by the server")
        return False

    def _receive(self, data: bytes, failure: str) -> None:
        try:
            self._decoder.receive(data)
            self._decode()
        except MalformedResponse as error:
            self.fail(f"{failure}: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """Fails an exchange in progress; called by asyncio."""
        self.fail(f"connection lost: {error or 'closed by the server'}")

    def _decode(self) -> None:
        """Decodes some of what has come, and the rest after others had their turn.

        Stops reading meanwhile, and while many bytes of the body are queued.

        :raises MalformedResponse: if the bytes are no response.
        """
        parts = self._decoder.decode()
        self._parts.extend(parts)
        self._buffered_bytes += sum(len(getattr(item, "data", b"")) for item in parts)
        self._report_buffered()
        if self._decoder.is_ended:
            self._error = self._error or "closed by the server"
        self._state_changed.set()
        is_full = self._buffered_bytes > MAX_BUFFERED_BYTES
        if self._transport is None or not (self._decoder.has_undecoded or is_full):
            return
        self._transport.pause_reading()
        if not is_full:
            self._schedule_decoding()

    def _schedule_decoding(self) -> None:
        if not self._is_decoding_scheduled:
            self._is_decoding_scheduled = True
            schedule_slice(self._decode_rest)

    def _decode_rest(self) -> None:
        self._is_decoding_scheduled = False
        if self._error or not self._decoder.has_undecoded:
            return
        try:
            self._decode()
        except MalformedResponse as error:
            self.fail(f"malformed response: {error}")
            return
        if not self._decoder.has_undecoded and not self._parts:
            self._read_on()

    def _has_unsent_bytes(self) -> bool:
        return self._sender is None or self._sender.has_unsent


def _new_codec() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
