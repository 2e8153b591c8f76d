"""Splits a byte stream into server-sent events, to forward only whole ones."""

from __future__ import annotations

import re

import attrs

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


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
    _partial: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns the events that they complete, possibly none."""
        self._partial += data
        ends = [match.end() for match in _EVENT_END.finditer(self._partial)]
        if not ends:
            return b""
        complete, self._partial = self._partial[: ends[-1]], self._partial[ends[-1] :]
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_partial(self) -> None:
        """Drops an incomplete event from the buffer."""
        self._partial = b""
