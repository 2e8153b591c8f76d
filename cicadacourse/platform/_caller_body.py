"""Reads the bodies of callers' requests, within the memory account and in time.

The expected load is bodies of some kilobytes that come with their heads. Bounded are
many large ones at once, those that stop before their end, and those in small chunks.
"""

from __future__ import annotations

import asyncio
import re

import attrs
from tornado.httputil import HTTPHeaders

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.gateway import BodyTerms
from cicadacourse.platform._client_stream import READ_BYTES, ClientStream
from cicadacourse.resources import SMALL_BYTES, HeldKind, MemoryAccount, NoRoom
from cicadacourse.util.chunked_body import ChunkedBody, MalformedBody
from cicadacourse.util.clock import now
from cicadacourse.util.slices import in_slice

# How long a body waits for room, and the share of the time left that this may take. A
# caller whose request is not read for a second gives up.
ROOM_WAIT_S = 0.8
ROOM_WAIT_SHARE = 0.3
# Most bodies are read whole within this time.
RETRY_AFTER_S = 1.0
REASON_NO_ROOM = "memory_full"
REASON_STALLED = "body_stalled"
_DIGITS = re.compile("[0-9]+")
# Longer numbers are above each limit of a body.
_MAX_LENGTH_DIGITS = 15


class BodyRefused(Exception):
    """A request is refused before its body was read whole; it has not run."""

    def __init__(self, error: Error) -> None:
        super().__init__(error.detail)
        self.error = error


@attrs.frozen
class Framing:
    """How a body ends.

    :param length: its size in bytes, None if it comes in chunks.
    """

    length: int | None

    @property
    def header(self) -> str:
        """The name of the header that states it."""
        return "Transfer-Encoding" if self.length is None else "Content-Length"


def find_framing(headers: HTTPHeaders) -> Framing | None:
    """Returns the framing of a body, or None without one.

    It is also None if the headers contradict each other; tornado refuses these.
    """
    coding = headers.get("Transfer-Encoding")
    lengths = headers.get("Content-Length")
    if coding is not None:
        is_chunked = lengths is None and coding.lower() == "chunked"
        return Framing(None) if is_chunked else None
    if lengths is None:
        return None
    values = {item.strip() for item in lengths.split(",")}
    if len(values) != 1 or not _DIGITS.fullmatch(value := values.pop()):
        return None
    digits = value.lstrip("0")
    return Framing(int(digits[:_MAX_LENGTH_DIGITS])) if digits else None


class BodyReader:
    """Reads one body.

    What it holds stays charged until the reader is closed.

    :param terms: until when the body must be whole, and its largest size.
    :param idle_s: the longest pause between two parts, in seconds.
    """

    def __init__(
        self,
        stream: ClientStream,
        account: MemoryAccount,
        terms: BodyTerms,
        idle_s: float,
    ) -> None:
        self._stream = stream
        self._holding = stream.body = account.open(HeldKind.BODY, self._shed)
        self._terms = terms
        self._idle_s = idle_s
        self._body = bytearray()
        self._is_shed = False
        self._scope: asyncio.Timeout | None = None

    def close(self) -> None:
        """Gives up what is held."""
        # An error in progress refers to this reader until the connection is closed.
        self._body = bytearray()
        self._stream.body = None
        self._holding.close()

    async def read(self, framing: Framing) -> bytes:
        """Returns the whole body.

        :raises BodyRefused: if it is too large, too slow or malformed, or if there is
            no room for it.
        :raises StreamClosedError: if the caller disconnects.
        """
        self._holding.wait_for_caller()
        try:
            async with asyncio.timeout_at(self._terms.deadline) as self._scope:
                if framing.length is None:
                    await self._read_chunked()
                else:
                    await self._read_fixed(framing.length)
        except TimeoutError:
            raise BodyRefused(self._make_slow_error()) from None
        except NoRoom as error:
            raise BodyRefused(_make_no_room_error(str(error))) from error
        except MalformedBody as error:
            detail = f"malformed body: {error}"
            raise BodyRefused(Error(ErrorKind.BAD_REQUEST, detail)) from error
        finally:
            self._scope = None
            self._holding.end_wait()
        body = bytes(self._body)
        self._body = bytearray()
        self._holding.resize(len(body))
        return body

    async def _read_fixed(self, length: int) -> None:
        while left := length - len(self._body):
            await self._reserve_whole(min(left, READ_BYTES), length)
            await self._add(await self._read_some(min(left, READ_BYTES)))

    async def _read_chunked(self) -> None:
        decoder = ChunkedBody()
        while not decoder.is_complete:
            await self._reserve_whole(READ_BYTES, self._terms.max_bytes)
            decoder.receive(await self._read_some(READ_BYTES))
            while decoder.has_undecoded:
                await self._add(await _decode(decoder))
        self._stream.unread(decoder.trailing_data)

    async def _read_some(self, count: int) -> bytes:
        """Returns the next bytes, at most so many."""
        read = self._stream.read_bytes(count, partial=True)
        if not read.done():  # type: ignore[attr-defined]  # it is a future
            self._limit_until(min(now() + self._idle_s, self._terms.deadline))
        data = await read
        self._limit_until(self._terms.deadline)
        self._holding.record_moved(len(data))
        return data

    def _limit_until(self, when: float) -> None:
        """Sets when the reader gives up, unless it does already."""
        if self._scope is not None and not self._is_shed and not self._scope.expired():
            self._scope.reschedule(when)

    async def _add(self, data: bytes) -> None:
        size = len(self._body) + len(data)
        if size > self._terms.max_bytes:
            detail = f"the body is larger than {self._terms.max_bytes} bytes"
            raise BodyRefused(Error(ErrorKind.TOO_LARGE, detail))
        self._body += data
        await self._reserve(size)

    async def _reserve_whole(self, count: int, whole: int) -> None:
        """Makes room for all that may come before more than a small body is read.

        So no two bodies that have begun wait for each other.
        """
        if len(self._body) + count > SMALL_BYTES:
            await self._reserve(whole)

    async def _reserve(self, size: int) -> None:
        if size <= self._holding.size:
            return
        left_s = max(0.0, self._terms.deadline - now())
        await self._holding.reserve(size, min(ROOM_WAIT_S, ROOM_WAIT_SHARE * left_s))

    def _shed(self) -> None:
        self._limit_until(now())
        self._is_shed = True

    def _make_slow_error(self) -> Error:
        detail = f"{len(self._body)} bytes of the body had come"
        return Error(
            ErrorKind.BODY_TOO_SLOW,
            detail,
            REASON_STALLED if self._is_shed else "",
            retry_after_s=RETRY_AFTER_S,
        )


async def _decode(decoder: ChunkedBody) -> bytes:
    """Returns the data of the next parts, in a slice if many small ones have come."""
    if not decoder.must_wait:
        return decoder.decode()
    async with in_slice():
        return decoder.decode()


def _make_no_room_error(detail: str) -> Error:
    return Error(
        ErrorKind.OVERLOADED,
        detail,
        REASON_NO_ROOM,
        retry_after_s=RETRY_AFTER_S,
    )
