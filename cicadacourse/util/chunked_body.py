"""Decodes request bodies that come in chunks."""

from __future__ import annotations

import h11

from cicadacourse.util.response_decoder import BYTES_PER_PART, MAX_PARTS_PER_TURN

# Trailers and chunk headers that are longer are malformed.
MAX_INCOMPLETE_BYTES = 16_384
# Small parts of a body that are decoded as they come; more wait for a slice.
MAX_PARTS_AT_ONCE = 2 * MAX_PARTS_PER_TURN
_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class MalformedBody(ValueError):
    """The bytes are no chunked body."""


class ChunkedBody:
    """Decodes one chunked body.

    :ivar has_undecoded: whether more parts may be decoded without further bytes.
    :ivar is_complete: whether the body has ended.
    """

    def __init__(self) -> None:
        self.has_undecoded = False
        self.is_complete = False
        self._small_parts = 0.0
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_BYTES
        )
        self._codec.receive_data(_HEAD)
        self._codec.next_event()

    @property
    def must_wait(self) -> bool:
        """Whether so many small parts have come that the next ones need a slice."""
        return self._small_parts > MAX_PARTS_AT_ONCE

    @property
    def trailing_data(self) -> bytes:
        """What follows the body."""
        data, _ = self._codec.trailing_data
        return bytes(data)

    def receive(self, data: bytes) -> None:
        """Adds bytes that were received."""
        self._codec.receive_data(data)
        self.has_undecoded = True

    def decode(self) -> bytes:
        """Returns the data of the next parts, ``MAX_PARTS_PER_TURN`` at most.

        :raises MalformedBody: if the bytes are no chunked body.
        """
        parts: list[bytes] = []
        try:
            self.has_undecoded = self._decode_into(parts)
        except h11.RemoteProtocolError as error:
            raise MalformedBody(str(error)) from error
        return b"".join(parts)

    def _decode_into(self, parts: list[bytes]) -> bool:
        """Adds parts to a list; returns whether more may be decoded."""
        for _ in range(MAX_PARTS_PER_TURN):
            event = self._codec.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return False
            if not isinstance(event, h11.Data):
                return False
            parts.append(bytes(event.data))
            self._small_parts += max(0.0, 1 - len(event.data) / BYTES_PER_PART)
        return True
