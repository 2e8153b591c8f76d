"""Decodes the bytes of HTTP/1.1 responses into parts, a bounded number at a time."""

from __future__ import annotations

from typing import TypeAlias

import h11

from cicadacourse.util.clock import now
from cicadacourse.util.part_budget import PartBudget, TooManyParts

# A response whose status line and headers are larger is malformed.
MAX_HEAD_BYTES = 65_536
# Informational heads (1xx) before a response; servers send one or two.
MAX_INFORMATIONAL_HEADS = 8
# Parts that are decoded before others get their turn.
MAX_PARTS_PER_TURN = 32
# Parts of this size pay for themselves, so that large ones are not bounded.
BYTES_PER_PART = 256

ResponsePart: TypeAlias = h11.Response | h11.Data | h11.EndOfMessage


class MalformedResponse(Exception):
    """The bytes are no HTTP response, or one of too many parts."""


class ResponseDecoder:
    """Decodes the responses to requests that are encoded by the same codec.

    :param codec: the client's side of a connection.
    :ivar has_undecoded: whether more parts may be decoded without further bytes.
    :ivar is_ended: whether the server has ended the connection.
    """

    def __init__(self, codec: h11.Connection) -> None:
        self.has_undecoded = False
        self.is_ended = False
        self._codec = codec
        self._budget = PartBudget()
        self._informational_heads = 0

    def start_response(self) -> None:
        """Begins with another response."""
        self._budget = PartBudget()
        self._informational_heads = 0

    def receive(self, data: bytes) -> None:
        """Adds bytes that were received; none at the end of the connection.

        :raises MalformedResponse: if no bytes may follow.
        """
        try:
            self._codec.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise MalformedResponse(str(error)) from error

    def decode(self) -> list[ResponsePart]:
        """Returns the next parts of the response, ``MAX_PARTS_PER_TURN`` at most.

        :raises MalformedResponse: if the bytes are no response, or one of too many
            parts.
        """
        parts: list[ResponsePart] = []
        try:
            self.has_undecoded = self._decode_into(parts)
        except (h11.RemoteProtocolError, TooManyParts) as error:
            raise MalformedResponse(str(error)) from error
        return parts

    def _decode_into(self, parts: list[ResponsePart]) -> bool:
        """Adds parts to a list; returns whether more may be decoded."""
        for _ in range(MAX_PARTS_PER_TURN):
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            if isinstance(event, h11.ConnectionClosed):
                self.is_ended = True
                return False
            if isinstance(event, h11.InformationalResponse):
                self._count_informational_head()
                continue
            if isinstance(event, h11.Data):
                self._budget.spend(1 - len(event.data) / BYTES_PER_PART, now())
            assert isinstance(event, (h11.Response, h11.Data, h11.EndOfMessage))
            parts.append(event)
        return True

    def _count_informational_head(self) -> None:
        self._informational_heads += 1
        if self._informational_heads > MAX_INFORMATIONAL_HEADS:
            raise TooManyParts("too many heads before the response")
