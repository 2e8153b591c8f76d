"""Streaming over the curl client with bounded buffers and prompt abort."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, AsyncIterator

import pycurl
from tornado.httpclient import HTTPRequest, HTTPResponse

from cicadacourse.util.http import CurlClient

MAX_LINE_BYTES = 16 * 1024 * 1024
HTTP_OK = 200


class AbortableCurlClient(CurlClient):
    """The curl client, with transfers that can be given up at any time."""

    def abort(self, curl: pycurl.Curl) -> None:
        """Ends a transfer at once and closes its connection."""
        if getattr(curl, "info", None) is None:
            return
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "aborted")
        self._process_queue()

    def resume(self, curl: pycurl.Curl) -> None:
        """Goes on with a transfer whose write function paused it."""
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)


class BodyStream:
    """The body of one answer, read in chunks while it arrives.

    The curl client pushes what it reads; this pauses the transfer, and so the
    sender through TCP, while ``limit_bytes`` wait to be read.
    """

    def __init__(self, client: AbortableCurlClient, limit_bytes: int) -> None:
        self._client = client
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        self._paused = False
        self._changed = asyncio.Event()
        self._curl: pycurl.Curl | None = None
        self._fetch: asyncio.Future[HTTPResponse] | None = None
        self._closed = False
        self._fresh_connection = False
        self.rest = b""
        self.status = 0
        self.connected = False

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be read."""
        return self._size

    @property
    def done(self) -> bool:
        """Whether the transfer is over."""
        return self._fetch is not None and self._fetch.done()

    @property
    def error(self) -> BaseException | None:
        """Why the transfer broke, or None if it did not."""
        assert self._fetch is not None and self._fetch.done()
        return self._fetch.exception()

    @contextlib.asynccontextmanager
    async def transfer(
        self, request: HTTPRequest, fresh_connection: bool = False
    ) -> AsyncIterator[BodyStream]:
        """Sends a request; leaving the context ends the transfer.

        :attr:`status` is the HTTP status as soon as it is known, and
        :attr:`connected` whether any byte of the request may have left.

        :param fresh_connection: connect anew. On a kept connection that closes
            without an answer the curl library sends the request a second time.
        """
        self._fresh_connection = fresh_connection
        request.prepare_curl_callback = self._prepare
        self._fetch = asyncio.ensure_future(
            self._client.fetch(request, raise_error=False)
        )
        self._fetch.add_done_callback(lambda _: self._changed.set())
        try:
            yield self
        finally:
            self._closed = True
            if self._curl is not None and not self.done:
                self._client.abort(self._curl)
            if self.done:
                self._fetch.exception()
            self._curl = None

    async def read(self) -> bytes:
        """Returns what has arrived, waiting for some; empty when all was read."""
        while not self._chunks:
            if self.done:
                return b""
            self._changed.clear()
            await self._changed.wait()
        return self._take()

    async def read_all(self) -> bytes:
        """Returns the whole body."""
        parts = []
        while part := await self.read():
            parts.append(part)
        return b"".join(parts)

    async def read_lines(self) -> list[bytes]:
        """Returns the whole lines that have arrived, at least one; none at the end.

        A last line without its end stays in :attr:`rest`.

        :raises ValueError: if a line is longer than :data:`MAX_LINE_BYTES`.
        """
        while part := await self.read():
            lines = (self.rest + part).split(b"\n")
            self.rest = lines.pop()
            if len(self.rest) > MAX_LINE_BYTES:
                raise ValueError("line too long")
            if lines:
                return lines
        return []

    def _prepare(self, curl: pycurl.Curl) -> None:
        if self._closed:
            raise RuntimeError("given up before it was sent")
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.HEADERFUNCTION, self._read_header)
        curl.setopt(pycurl.PREREQFUNCTION, self._note_connected)
        curl.setopt(pycurl.FRESH_CONNECT, self._fresh_connection)

    def _note_connected(self, *addresses: Any) -> int:
        self.connected = True
        return pycurl.PREREQFUNC_OK

    def _read_header(self, header: bytes) -> None:
        if header.startswith(b"HTTP/"):
            self.status = int(header.split()[1])

    def _write(self, chunk: bytes) -> int:
        if self._closed:
            return 0
        if self._size >= self._limit_bytes:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._changed.set()
        return len(chunk)

    def _take(self) -> bytes:
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        if self._paused and not self.done:
            self._paused = False
            assert self._curl is not None
            self._client.resume(self._curl)
        return data
