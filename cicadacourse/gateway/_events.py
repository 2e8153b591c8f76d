"""Splits a byte stream into server-sent events, to forward only whole ones."""

from __future__ import annotations

import re
from typing import Callable

import attrs

from cicadacourse.exchange import EndpointResponse, SendFailure
from cicadacourse.util.clock import now
from cicadacourse.util.part_budget import PartBudget, TooManyParts

# A larger event counts as malformed: a faulty endpoint may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# An event of so many bytes counts as two of a stream's events, and so on.
BYTES_PER_EVENT = 16_384
# An event's end may begin this many bytes before the end of the bytes received.
_MAX_PARTIAL_END_BYTES = 3
# Longer ids are no numbers: the conversion of thousands of digits is refused.
_NUMBER = re.compile("[0-9]{1,40}")
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class StreamMismatch(ValueError):
    """A response can't go on with a stream that has begun."""


class EventTooLarge(ValueError):
    """An event is larger than :data:`MAX_EVENT_BYTES`."""


@attrs.define
class EventSplitter:
    """Buffers bytes until they form complete events.

    :ivar last_id: the id of the last complete event that had one, or None.
    :ivar first_id: the id of the first event of the latest ones, or None.
    :ivar latest_events: how many events the latest bytes have completed.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.has_partial
    ('1', True)
    """

    last_id: str | None = None
    first_id: str | None = None
    latest_events: int = 0
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
        end = self.latest_events = 0
        for match in _EVENT_END.finditer(self._partial, start):
            end = match.end()
            self.latest_events += 1
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        if complete:
            self._read_ids(complete)
        return complete

    def _read_ids(self, complete: bytes) -> None:
        first_event = complete[: _find_end(complete)]
        first = _ID_FIELD.search(first_event)
        self.first_id = first[1].decode("latin-1") if first else None
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")

    def discard_partial(self) -> None:
        """Drops an incomplete event from the buffer."""
        self._partial.clear()


def _find_end(events: bytes) -> int:
    """Returns where the first event ends."""
    match = _EVENT_END.search(events)
    return match.end() if match else len(events)


def check_follows(first_id: str | None, last_id: str | None) -> None:
    """Checks that an event may follow the last one that was forwarded.

    Ids increase, so an event that has none, or one that is no greater, was forwarded
    before or is of another stream.

    >>> check_follows("10", "9")

    :raises StreamMismatch: if it may not.
    """
    if first_id is None:
        raise StreamMismatch("an event has no id")
    if not _is_greater(first_id, last_id or ""):
        raise StreamMismatch(f"event {first_id:.40} does not follow {last_id!r:.40}")


def _is_greater(event_id: str, last_id: str) -> bool:
    """Returns whether an id is greater; ids that are no numbers need only differ."""
    if _NUMBER.fullmatch(event_id) and _NUMBER.fullmatch(last_id):
        return int(event_id) > int(last_id)
    return event_id != last_id


@attrs.define
class EventReader:
    """Reads the whole events of one response.

    Comments, which bring the caller nothing, count as events.
    """

    _splitter: EventSplitter = attrs.field(factory=EventSplitter)
    _budget: PartBudget = attrs.field(factory=PartBudget)

    @property
    def first_id(self) -> str | None:
        """The id of the first of the events that were read last, or None."""
        return self._splitter.first_id

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
        :raises SendFailure: if the response breaks off or ends within an event, if an
            event is too large, or if there are too many.
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
            events = self._splitter.feed(data)
            count = self._splitter.latest_events + len(events) / BYTES_PER_EVENT
            self._budget.spend(count, now())
        except EventTooLarge as error:
            raise SendFailure(str(error), True, "event_too_large") from error
        except TooManyParts as error:
            raise SendFailure(str(error), True, "too_many_events") from error
        return events


def cut_short_failure() -> SendFailure:
    """Returns the failure of a stream that ended too early."""
    detail = "the stream ended before its first event or within an event"
    return SendFailure(detail, True, "cut_short", is_broken_off=True)
