"""Encodes a request and sends it as fast as the server takes it."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from typing import Sequence

import h11

# A body is passed on in pieces of this size, the first of them with the head.
SEND_BYTES = 65_536
_NOTHING = memoryview(b"")


def encode_start(
    codec: h11.Connection,
    method: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns the bytes before the body of a request.

    The codec counts the whole request as sent.

    :raises h11.LocalProtocolError: if the request is malformed, or if its headers state
        another length.
    """
    head = h11.Request(
        method=_encode(method),
        target=_encode(target),
        headers=[(_encode(name), _encode(value)) for name, value in headers],
    )
    start = codec.send(head) or b""
    if body:
        codec.send_with_data_passthrough(h11.Data(data=body))
    codec.send(h11.EndOfMessage())
    return start


class RequestSender:
    """Passes a body to a transport in pieces, so that this holds no copy of all of it.

    :param transport: tells by ``pause_writing`` and ``resume_writing`` of its protocol
        whether it takes more.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._unsent = _NOTHING
        self._is_paused = False

    def send(self, head: bytes, body: bytes) -> None:
        """Begins to send a request; never waits."""
        first = min(len(body), SEND_BYTES)
        self._unsent = memoryview(body)[first:]
        self._transport.write(head + body[:first])
        self._send_rest()

    def pause(self) -> None:
        """Stops passing on the body."""
        self._is_paused = True

    def resume(self) -> None:
        """Passes on more of the body."""
        self._is_paused = False
        self._send_rest()

    def stop(self) -> None:
        """Drops what was not passed on."""
        self._unsent = _NOTHING

    @property
    def buffered_bytes(self) -> int:
        """The bytes that the transport holds."""
        return self._transport.get_write_buffer_size()

    @property
    def has_unsent(self) -> bool:
        """Whether this process still holds bytes of the request."""
        return bool(self._unsent) or self.buffered_bytes > 0

    @property
    def is_in_transit(self) -> bool:
        """Whether bytes of the request were not received by the server."""
        connection = self._transport.get_extra_info("socket")
        return self.has_unsent or _count_unacknowledged(connection) > 0

    def _send_rest(self) -> None:
        while self._unsent and not self._is_paused:
            piece, self._unsent = self._unsent[:SEND_BYTES], self._unsent[SEND_BYTES:]
            self._transport.write(piece)


def _count_unacknowledged(connection: socket.socket | None) -> int:
    """Returns the bytes in a socket that its peer has not received; 0 if unknown."""
    if connection is None:
        return 0
    try:
        count = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def _encode(text: str) -> bytes:
    """Returns the bytes of a part of a head, which HTTP reads as Latin-1.

    :raises h11.LocalProtocolError: if it has other characters.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise h11.LocalProtocolError(f"not Latin-1: {text!r:.40}") from error
