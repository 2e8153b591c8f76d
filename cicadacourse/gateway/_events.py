"""Splits a byte stream into server-sent events, to forward only whole ones."""

from __future__ import annotations

import re
from typing import Callable

import attrs

from cicadacourse.exchange import EndpointResponse, SendFailure

# A larger event counts as malformed: a faulty endpoint may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# An event's end may begin this many bytes before the end of the bytes received.
_MAX_PARTIAL_END_BYTES = 3
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventTooLarge(ValueError):
    """An event is larger than :data:`MAX_EVENT_BYTES`."""


@attrs.define
class EventSplitter:
    """Buffers bytes until they form complete events.

    :ivar last_id: the id of the last complete event that had one, or None.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.has_partial
    ('1', True)
    """

    last_id: str | None = None
    _partial: bytearray = attrs.field(factory=bytearray)

    @property
    def has_partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns the events that they complete, possibly none.

        :raises EventTooLarge: if the incomplete event is too large.
        """
        # No event ends in the bytes that were searched before.
        start = max(0, len(self._partial) - _MAX_PARTIAL_END_BYTES)
        self._partial += data
        end = 0
        for match in _EVENT_END.finditer(self._partial, start):
            end = match.end()
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_partial(self) -> None:
        """Drops an incomplete event from the buffer."""
        self._partial.clear()


@attrs.define
class EventReader:
    """Reads the whole events of one response."""

    _splitter: EventSplitter = attrs.field(factory=EventSplitter)

    @property
    def last_id(self) -> str | None:
        """The id of the last event that was read, or that it resumes after."""
        return self._splitter.last_id

    def resume_after(self, last_id: str | None) -> None:
        """Sets the id of the event that the response resumes after, if any."""
        self._splitter.last_id = last_id

    async def read(
        self, response: EndpointResponse, on_wait: Callable[[], None]
    ) -> bytes:
        """Returns the next whole events, or no bytes at the end of the response.

        :param on_wait: called whenever the wait for the next bytes begins.
        :raises SendFailure: if the response breaks off or ends within an event, or if
            an event is too large.
        """
        while True:
            on_wait()
            data = await response.read_chunk()
            if not data:
                if self._splitter.has_partial:
                    raise cut_short_failure()
                return b""
            if events := self._split(data):
                return events

    def _split(self, data: bytes) -> bytes:
        try:
            return self._splitter.feed(data)
        except EventTooLarge as error:
            raise SendFailure(str(error), True, "event_too_large") from error


def cut_short_failure() -> SendFailure:
    """Returns the failure of a stream that ended too early."""
    detail = "the stream ended before its first event or within an event"
    return SendFailure(detail, True, "cut_short", is_broken_off=True)
