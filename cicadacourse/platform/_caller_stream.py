"""Callers' connections that record when a request begins to arrive."""

from __future__ import annotations

import select
import weakref
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from cicadacourse.util.clock import now


class CallerStream(IOStream):
    """A caller's connection; times are loop times in seconds.

    :ivar waits_since: since when it waits for the head of a request, or None while it
        does not.
    :ivar head_began_at: when the first bytes of that head were read, or None.
    """

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self.waits_since: float | None = None
        self.head_began_at: float | None = None

    def begin_wait(self) -> None:
        """Records that the head of the next request may come."""
        self.waits_since = now()
        # A part of the head may have come together with the request before.
        self.head_began_at = now() if self._read_buffer_size else None

    def end_wait(self) -> None:
        """Records that a whole head was read."""
        self.waits_since = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; called by tornado."""
        count = super().read_from_fd(buf)
        if count and self.waits_since is not None and self.head_began_at is None:
            self.head_began_at = now()
        return count

    @property
    def is_unused(self) -> bool:
        """Whether it waits for a request and nothing of one has come."""
        if self.closed() or self.waits_since is None or not self.reading():
            return False
        return self.head_began_at is None and not self.has_unread()

    def has_unread(self) -> bool:
        """Returns whether a read would find bytes, or the end, in the socket."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))


class CallerServer(HTTPServer):
    """A server whose connections are of the class :class:`CallerStream`."""

    def initialize(self, *arguments: Any, **keywords: Any) -> None:
        """Initialises the server; called by tornado in place of ``__init__``."""
        super().initialize(*arguments, **keywords)
        self._streams: weakref.WeakSet[CallerStream] = weakref.WeakSet()

    def has_connections(self) -> bool:
        """Returns whether a connection is open."""
        return any(not stream.closed() for stream in self._streams)

    def is_writing(self) -> bool:
        """Returns whether bytes of a response wait for their caller to read."""
        return any(not item.closed() and item.writing() for item in self._streams)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serves a new connection; called by tornado, which has not read from it."""
        own = CallerStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        self._streams.add(own)
        super().handle_stream(own, address)
