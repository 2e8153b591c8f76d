"""Streaming over the curl client with bounded buffers and prompt abort."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import AsyncIterator

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

MAX_LINE_BYTES = 16 * 1024 * 1024
HTTP_OK = 200


class AbortableCurlClient(CurlAsyncHTTPClient):
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
        self._chunks: deque[bytes] = deque()
        self._size = 0
        self._paused = False
        self._changed = asyncio.Event()
        self._curl: pycurl.Curl | None = None
        self._fetch: asyncio.Future[HTTPResponse] | None = None
        self._closed = False
        self._fresh_connection = False
        self.rest = b""
        self.status = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be read."""
        return self._size

    @property
    def response(self) -> HTTPResponse | None:
        """The answer without its body, once the transfer is over."""
        if self._fetch is None or not self._fetch.done():
            return None
        return self._fetch.result()

    @contextlib.asynccontextmanager
    async def transfer(
        self, request: HTTPRequest, fresh_connection: bool = False
    ) -> AsyncIterator[BodyStream]:
        """Sends a request; leaving the context ends the transfer.

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
            if self._curl is not None and not self._fetch.done():
                self._client.abort(self._curl)
            self._curl = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body's chunks; ends when the transfer is over."""
        while True:
            while self._chunks:
                yield self._take()
            if self.response is not None:
                return
            self._changed.clear()
            await self._changed.wait()

    async def lines(self) -> AsyncIterator[bytes]:
        """Yields whole lines; a last line without its end stays in :attr:`rest`.

        :raises ValueError: if a line is longer than :data:`MAX_LINE_BYTES`.
        """
        async for chunk in self.chunks():
            parts = (self.rest + chunk).split(b"\n")
            self.rest = parts.pop()
            if len(self.rest) > MAX_LINE_BYTES:
                raise ValueError("line too long")
            for part in parts:
                yield part

    def _prepare(self, curl: pycurl.Curl) -> None:
        if self._closed:
            raise RuntimeError("given up before it was sent")
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)
        curl.setopt(pycurl.FRESH_CONNECT, self._fresh_connection)

    def _write(self, chunk: bytes) -> int:
        if self._closed:
            return 0
        if self._size >= self._limit_bytes:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        if not self.status and self._curl is not None:
            self.status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        self._chunks.append(chunk)
        self._size += len(chunk)
        self._changed.set()
        return len(chunk)

    def _take(self) -> bytes:
        chunk = self._chunks.popleft()
        self._size -= len(chunk)
        if self._paused and not self._chunks and self.response is None:
            self._paused = False
            assert self._curl is not None
            self._client.resume(self._curl)
        return chunk
