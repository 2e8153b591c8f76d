"""Writes responses to callers on tornado's connections."""

from __future__ import annotations

import contextlib
import json
from typing import Any, Callable

import tornado.httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from cicadacourse.errors import Error
from cicadacourse.exchange import Header, Reply, ResponseHead
from cicadacourse.logs import REQUEST_FAILED, log
from cicadacourse.platform import _names as names


class CallerReply(Reply):
    """The response to one request on one of tornado's connections.

    :param is_leaving: returns whether the instance is leaving; the response then
        announces that the connection closes.
    :param stays_open: whether the connection is not closed by this response although
        the body of its request was not read; whoever reads the rest closes it.
    :ivar request_id: the caller's id of the request; empty if it gave none.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        is_leaving: Callable[[], bool],
        stays_open: bool = False,
    ) -> None:
        super().__init__()
        self.request_id = ""
        self._connection = connection
        self._is_leaving = is_leaving
        self._stays_open = stays_open
        self._is_ended = False

    def on_disconnect(self, callback: Any) -> None:
        """Calls back if the caller closes the connection before the response ends."""

        def on_close() -> None:
            self.caller_disconnected.set()
            if not self._is_ended:
                callback()

        self._connection.set_close_callback(on_close)

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Sends a whole response."""
        self._start(head, {"Content-Length": str(len(body))}, body)
        self._end()

    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Sends the head of a stream and its first events in one write."""
        await self._start(head, {}, data)

    async def send_events(self, data: bytes) -> None:
        """Sends whole events; waits while the caller reads slowly."""
        await self._connection.write(data)

    async def finish_stream(self) -> None:
        """Ends a stream as complete."""
        self._end()

    async def refuse(self, error: Error) -> None:
        """Responds with an error of this instance."""
        body = json.dumps(error.to_json()).encode()
        headers = [Header("Content-Type", "application/json")]
        if self.request_id:
            headers.append(Header(names.HEADER_REQUEST_ID, self.request_id))
        if error.response.is_retryable and error.retry_after_s is not None:
            headers.append(Header("Retry-After", f"{error.retry_after_s:.3f}"))
        head = ResponseHead(error.response.status, tuple(headers))
        await self.send_response(head, body)

    async def fail(self, error: Error) -> None:
        """Responds with an error, or aborts a response that has begun."""
        if self.started or self.caller_disconnected.is_set():
            self.abort()
            return
        log(REQUEST_FAILED, request=self.request_id, reason=error.label)
        with contextlib.suppress(StreamClosedError):
            await self.refuse(error)

    def abort(self) -> None:
        """Closes the connection so that the response can't look complete."""
        if not self._is_ended:
            self._is_ended = True
            self._connection.close()

    def _start(
        self, head: ResponseHead, framing: dict[str, str], body: bytes | None = None
    ) -> Any:
        self.started = True
        headers = tornado.httputil.HTTPHeaders()
        for header in head.headers:
            headers.add(header.name, header.value)
        for name, value in framing.items():
            headers[name] = value
        if self._is_leaving():
            headers["Connection"] = "close"
        reason = tornado.httputil.responses.get(head.status, "Unknown")
        start_line = tornado.httputil.ResponseStartLine("", head.status, reason)
        return self._connection.write_headers(start_line, headers, body)

    def _end(self) -> None:
        self._is_ended = True
        if not self._stays_open:
            self._connection.finish()
