"""Clients' connections, whose memory is charged to the account of the instance."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from tornado.concurrent import Future
from tornado.iostream import IOStream, StreamClosedError

from cicadacourse.resources import HeldKind, Holding, MemoryAccount, NoRoom
from cicadacourse.util.clock import now
from cicadacourse.util.slices import Slice, begin_slice

# What a connection takes besides the bytes in its buffers.
CONNECTION_BYTES = 12_288
# A connection is read in parts of this size. One that is not read buffers one of them.
READ_BYTES = 16_384
# Heads of more lines wait for room and for a slice of the loop's time before they are
# parsed; most have about ten.
MAX_LINES_AT_ONCE = 64
# What a header line takes once it is parsed.
PARSED_LINE_BYTES = 300
HEAD_ROOM_WAIT_S = 0.8
# While the account is above its limit, no more of a head is read than this.
MAX_HEAD_BYTES_OVER_LIMIT = 8_192
# After a refusal, what still comes is dropped for so long, so that the client reads the
# refusal before the connection is reset.
LINGER_S = 2.0
LINGER_BYTES = 8_388_608


class ClientStream(IOStream):
    """A client's connection; times are loop times in seconds.

    :param account: is charged with what the connection holds.
    :ivar waits_since: since when it waits for the head of a request, or None while it
        does not.
    :ivar head_began_at: when the first bytes of that head were read, or None.
    :ivar written_at: when the client last took bytes of an answer, or the present
        answer began.
    :ivar body: what is held of the body that is being read, None while none is.
    """

    def __init__(
        self, *arguments: Any, account: MemoryAccount, **keywords: Any
    ) -> None:
        super().__init__(*arguments, **keywords)
        self.waits_since: float | None = None
        self.head_began_at: float | None = None
        self.written_at = now()
        self.body: Holding | None = None
        self._is_ending = False
        self._account = account
        self._connection = account.open(HeldKind.CONNECTION, self.close)
        self._head = account.open(HeldKind.HEAD)
        self._answer = account.open(HeldKind.ANSWER, self.close)
        self._head_slice: Slice | None = None
        # How much of a partial head has no end in it.
        self._searched = 0
        self._charge_buffers()

    def begin_wait(self) -> None:
        """Records that the head of the next request may come."""
        self.waits_since = now()
        self._searched = 0
        self._head.resize(0)
        # A part of the head may have come together with the request before.
        self.head_began_at = None
        if self._read_buffer_size:
            self._begin_head()

    def end_wait(self) -> None:
        """Records that a whole head was read."""
        self.waits_since = None
        # Else up to the size of a head would be read while no read is due.
        self._read_max_bytes = None
        self._connection.end_wait()
        self._charge_buffers()

    def _begin_head(self) -> None:
        self.head_began_at = now()
        self._connection.wait_for_caller()

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Reads the head of a request; called by tornado.

        A head that is costly to parse, or that came behind another request, waits for
        a slice of the loop's time, so that such heads leave the rest to others.

        :raises StreamClosedError: if the connection ends, or has no room for its head.
        """
        if self.waits_since is None:
            self.begin_wait()
        was_pipelined = self._read_buffer_size > 0
        head = await super().read_until_regex(regex, max_bytes)
        lines = head.count(b"\n")
        if lines > MAX_LINES_AT_ONCE:
            await self._reserve_head(lines * PARSED_LINE_BYTES)
        if was_pipelined or lines > MAX_LINES_AT_ONCE:
            self._head_slice = await begin_slice()
            # Ends the slice if the head turns out to be malformed.
            asyncio.get_running_loop().call_soon(self._head_slice.end)
        self.end_wait()
        return head

    async def _reserve_head(self, size: int) -> None:
        try:
            await self._head.reserve(size, HEAD_ROOM_WAIT_S)
        except NoRoom as error:
            self.close()
            raise StreamClosedError(error) from error

    def end_head_slice(self) -> None:
        """Records that the head is parsed."""
        if self._head_slice is not None:
            self._head_slice.end()
            self._head_slice = None

    def _find_read_pos(self) -> int | None:
        """Returns the end of the read in progress, or None; called by tornado.

        It would search a partial head from its begin with each part that comes.
        """
        if self._read_regex is not None and not self._may_have_head_end():
            self._check_max_bytes(self._read_regex, self._read_buffer_size)
            return None
        return super()._find_read_pos()

    def _may_have_head_end(self) -> bool:
        since = max(0, self._searched - len(b"\n\r"))
        self._searched = self._read_buffer_size
        buffer = self._read_buffer
        return buffer.find(b"\n\r\n", since) >= 0 or buffer.find(b"\n\n", since) >= 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket; called by tornado."""
        count = super().read_from_fd(buf)
        if not count:
            return count
        if self.waits_since is not None:
            if self.head_began_at is None:
                self._begin_head()
            self._connection.record_moved(count)
            is_large = self._read_buffer_size + count > MAX_HEAD_BYTES_OVER_LIMIT
            if is_large and self._account.held > self._account.limit:
                # Ends the connection.
                return 0
        self._charge_buffers(count)
        return count

    def write(self, data: bytes | memoryview) -> Future[None]:
        """Writes bytes; see :meth:`IOStream.write`."""
        if not self.writing():
            self.written_at = now()
            self._answer.wait_for_caller()
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket; called by tornado."""
        count = super().write_to_fd(data)
        if count:
            self.written_at = now()
            self._answer.record_moved(count)
        return count

    def _handle_write(self) -> None:
        super()._handle_write()
        if not self.closed():
            if not self.writing():
                self._answer.end_wait()
            self._answer.resize(len(self._write_buffer))

    def close(self, *arguments: Any, **keywords: Any) -> None:
        """Closes the connection; see :meth:`IOStream.close`."""
        super().close(*arguments, **keywords)
        if self.waits_since is not None:
            # The connection lives on until the next garbage collection.
            self._read_buffer = bytearray()
            self._read_buffer_size = 0
        for holding in (self._connection, self._head, self._answer):
            holding.close()

    def unread(self, data: bytes) -> None:
        """Puts bytes back that were read and belong to the next request."""
        self._read_buffer[:0] = data
        self._read_buffer_size += len(data)

    async def drop_and_close(self) -> None:
        """Closes the connection once its last answer was sent.

        Drops what still comes for a while. Closing a connection with unread bytes
        resets it, and the client would lose the answer.
        """
        self._is_ending = True
        # A read that was cancelled is still recorded as one.
        self._read_future = None
        self._read_bytes = None
        self._read_partial = False
        try:
            async with asyncio.timeout(LINGER_S):
                await self.write(b"")
                self.socket.shutdown(socket.SHUT_WR)
                dropped = 0
                while dropped < LINGER_BYTES:
                    dropped += len(await self.read_bytes(READ_BYTES, partial=True))
        except (TimeoutError, StreamClosedError, OSError):
            return
        finally:
            self.close()

    def replacement_rank(self, now_s: float) -> tuple[int, float] | None:
        """Returns how soon it should make place for a new one, None if it may not.

        Those that end are first, then those with a part of a head, those without one,
        those with a head and nothing of its body, and those whose client makes no
        progress with a body or an answer.
        """
        if self._is_ending:
            return 0, self.written_at
        if self.waits_since is not None:
            if self.head_began_at is not None:
                return 1, self.head_began_at
            return 2, self.waits_since
        if self.body is not None and self.body.is_awaited:
            return 3, self.written_at
        holdings = [self._answer] if self.body is None else [self._answer, self.body]
        is_stalled = any(item.is_stalled(now_s) for item in holdings)
        return (4, self.written_at) if is_stalled else None

    def is_write_stalled(self, now_s: float, limit_s: float) -> bool:
        """Returns whether the client has read nothing of its answer for some time."""
        is_writing = not self.closed() and self.writing()
        return is_writing and now_s - self.written_at > limit_s

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

    def _charge_buffers(self, further: int = 0) -> None:
        """Charges what is read, and bytes that are about to be added to it."""
        if not self.closed():
            size = CONNECTION_BYTES + self._read_buffer_size + further
            self._connection.resize(size)
