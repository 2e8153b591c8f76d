"""Reads one request of a caller, and passes it on or refuses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Awaitable

import attrs
import tornado.httputil
from returns.result import Failure, Success
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import CallerRequest
from cicadacourse.gateway import BodyTerms
from cicadacourse.platform._caller_body import (
    BodyReader,
    BodyRefused,
    Framing,
    find_framing,
)
from cicadacourse.platform._caller_reply import CallerReply
from cicadacourse.platform._caller_request import read_request
from cicadacourse.platform._client_stream import ClientStream
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.platform._ingress import Ingress

_CONTINUE = b"HTTP/1.1 100 (Continue)\r\n\r\n"


class RequestReader(tornado.httputil.HTTPMessageDelegate):
    """Reads one request, judges it by its head, and starts serving it once it is whole.

    It reads bodies itself, in place of tornado, which learns of none.
    """

    def __init__(
        self, ingress: Ingress, connection: HTTP1Connection, stream: ClientStream
    ) -> None:
        self._ingress = ingress
        self._connection = connection
        self._stream = stream
        self._request: CallerRequest | None = None
        self._error: Error | None = None
        self._body_reader: BodyReader | None = None
        self._is_over = False

    def headers_received(
        self, start_line: Any, headers: tornado.httputil.HTTPHeaders
    ) -> Awaitable[None] | None:
        """Judges the head and reads the body; called by tornado."""
        self._ingress.waiting.end_wait(self._stream)
        try:
            self._request = read_request(start_line, headers, b"", now())
        except ValueError as error:
            detail = f"malformed request: {error}"
            self._error = Error(ErrorKind.BAD_REQUEST, detail)
        self._stream.end_head_slice()
        framing = find_framing(headers)
        if framing is None:
            return None
        return self._receive_body(framing, headers)

    async def _receive_body(
        self, framing: Framing, headers: tornado.httputil.HTTPHeaders
    ) -> None:
        """Reads the body, or refuses the request and ends its connection."""
        del headers[framing.header]
        expectation = headers.pop("Expect", "")
        try:
            terms = self._check_head(framing)
            if expectation.lower() == "100-continue":
                await self._stream.write(_CONTINUE)
            await self._read_body(framing, terms)
        except BodyRefused as refusal:
            self._is_over = True
            await self._refuse(refusal.error)
        except StreamClosedError:
            self._is_over = True
        finally:
            if self._is_over:
                self._close_body()

    def _check_head(self, framing: Framing) -> BodyTerms:
        """Returns the terms of the body.

        :raises BodyRefused: if the request is refused without it.
        """
        if self._request is None:
            assert self._error is not None
            raise BodyRefused(self._error)
        match self._ingress.check_head(self._request, framing.length):
            case Failure(error):
                raise BodyRefused(error)
            case Success(terms):
                return terms
        raise AssertionError("a result is a success or a failure")

    async def _read_body(self, framing: Framing, terms: BodyTerms) -> None:
        assert self._request is not None
        self._body_reader = self._ingress.make_body_reader(self._stream, terms)
        body = await self._body_reader.read(framing)
        self._request = attrs.evolve(self._request, body=body)

    async def _refuse(self, error: Error) -> None:
        """Answers, then drops what still comes and closes the connection."""
        self._close_body()
        reply = CallerReply(self._connection, lambda: True, stays_open=True)
        try:
            if self._request is None:
                await reply.fail(error)
            else:
                reply.request_id = self._request.id
                await self._ingress.refuse_at_head(self._request, reply, error)
        except StreamClosedError:
            return
        await self._stream.drop_and_close()

    def data_received(self, chunk: bytes) -> None:
        """Refuses bodies that tornado reads, as it is to read none; called by tornado.

        :raises HTTPInputError: always.
        """
        raise tornado.httputil.HTTPInputError("unexpected body")

    def finish(self) -> None:
        """Serves the complete request; called by tornado."""
        if self._is_over:
            return
        reply = CallerReply(self._connection, lambda: self._ingress.is_leaving)
        if self._request is None:
            assert self._error is not None
            self._ingress.refuse(reply, self._error)
            return
        reply.request_id = self._request.id
        request, self._request = self._request, None
        self._ingress.serve(request, reply, self._close_body)

    def on_connection_close(self) -> None:
        """Discards an incomplete request; called by tornado."""
        self._close_body()

    def _close_body(self) -> None:
        if self._body_reader is not None:
            self._body_reader.close()
            self._body_reader = None


class RequestReaderFactory(tornado.httputil.HTTPServerConnectionDelegate):
    """Creates a reader for each request; passed to tornado's server."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Returns the reader of one request; called by tornado."""
        assert isinstance(request_conn, HTTP1Connection)
        assert isinstance(request_conn.stream, ClientStream)
        self._ingress.waiting.begin_wait(request_conn.stream)
        return RequestReader(self._ingress, request_conn, request_conn.stream)
