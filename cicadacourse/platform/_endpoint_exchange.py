"""One exchange with an endpoint in the platform's protocol, on a direct connection."""

from __future__ import annotations

import asyncio
import re

import h11

from cicadacourse.exchange import (
    EndpointConnection,
    EndpointRequest,
    EndpointResponse,
    ResponseHead,
    SendFailure,
    check_status,
)
from cicadacourse.platform import _names as names
from cicadacourse.platform._response_head import (
    decode_headers,
    read_head,
    read_length,
)
from cicadacourse.util.clock import MS_PER_S
from cicadacourse.util.connection import HttpConnection, HttpConnectionError

# Keep-alive time of an endpoint whose response has no Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the announced keep-alive time, so that no request is sent while the
# endpoint closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5
_SECONDS = re.compile("[0-9]{1,9}")


class DirectConnection(EndpointConnection):
    """A connection from this instance to an endpoint."""

    def __init__(self, connection: HttpConnection, is_kept: bool) -> None:
        self.is_kept = is_kept
        self._connection = connection

    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request; see :meth:`EndpointConnection.send`."""
        caller = request.caller
        headers = _request_headers(request)
        try:
            self._connection.send(caller.method, caller.target, headers, caller.body)
        except HttpConnectionError as error:
            raise SendFailure(str(error), False, "connection_ended") from error
        except h11.LocalProtocolError as error:
            raise SendFailure(str(error), False, "malformed_request") from error
        response = await self._receive_head(head_timeout_s)
        if not isinstance(response, h11.Response):
            raise SendFailure("no response head was received", True, "malformed_answer")
        head = read_head(response)
        check_status(head)
        _check_origin(head, caller.id)
        length, keep_alive_s = read_length(response), _keep_alive_s(response)
        return _Response(head, length, self._connection, keep_alive_s)

    async def _receive_head(self, timeout_s: float) -> object:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.receive()
        except TimeoutError:
            detail = f"no response head within {timeout_s:.2f} s"
            raise SendFailure(detail, True, "no_answer") from None
        except HttpConnectionError as error:
            raise SendFailure(
                str(error), True, "connection_broken", is_broken_off=True
            ) from error


class _Response(EndpointResponse):
    """A response that is read from a connection."""

    def __init__(
        self,
        head: ResponseHead,
        length: int | None,
        connection: HttpConnection,
        keep_alive_s: float,
    ) -> None:
        self.head = head
        self.length = length
        self._connection = connection
        self._keep_alive_s = keep_alive_s
        self._is_complete = False

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or none at its end.

        :raises SendFailure: if the connection breaks before the end of the body.
        """
        while not self._is_complete:
            try:
                part = await self._connection.receive()
            except HttpConnectionError as error:
                raise SendFailure(
                    str(error), True, "cut_short", is_broken_off=True
                ) from error
            if isinstance(part, h11.EndOfMessage):
                self._is_complete = True
                self._connection.end_exchange(self._keep_alive_s)
            elif isinstance(part, h11.Data) and part.data:
                return bytes(part.data)
        return b""


def _request_headers(request: EndpointRequest) -> list[tuple[str, str]]:
    """Returns the headers of one attempt: the caller's, then those of this instance."""
    caller = request.caller
    time_left_ms = max(1, int(request.time_left_s * MS_PER_S))
    headers = [("Host", caller.host)]
    headers += [(item.name, item.value) for item in caller.headers]
    headers.append((names.HEADER_TIME_LEFT_MS, str(time_left_ms)))
    headers.append((names.HEADER_EXPECTED_ENDPOINT, request.endpoint.id))
    if request.organisation is not None:
        headers.append((names.HEADER_ORGANISATION, request.organisation))
    if request.last_event_id is not None:
        headers.append((names.HEADER_LAST_EVENT_ID, request.last_event_id))
    if request.helpers:
        helper_list = ",".join(
            (
                f"{item.address}/{item.reservation_id}"
                if item.reservation_id
                else item.address
            )
            for item in request.helpers
        )
        headers.append((names.HEADER_HELPERS, helper_list))
    if caller.body or caller.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(caller.body))))
    return headers


def _check_origin(head: ResponseHead, request_id: str) -> None:
    """Checks that a response is the endpoint's, and the one to a request.

    A faulty endpoint may send further bytes after a response, which look like the
    response to the next request. Endpoints name the request in each response, and seal
    successes.

    :raises SendFailure: if it names no request or another one, or is an unsealed
        success. The request was sent and may have run.
    """
    # A caller may give its request no id, or an empty one.
    ids = set(_values(head, names.HEADER_REQUEST_ID)) - {""}
    if ids != {request_id} - {""}:
        detail = "the response bears the id of another request, or none"
        raise SendFailure(detail, True, "foreign_answer")
    if head.is_success and not any(_values(head, names.HEADER_SIGNATURE)):
        raise SendFailure("the success bears no seal", True, "unsealed_answer")


def _values(head: ResponseHead, name: str) -> list[str]:
    """Returns the values of all headers of a name."""
    lower_name = name.lower()
    return [item.value for item in head.headers if item.name.lower() == lower_name]


def _keep_alive_s(response: h11.Response) -> float:
    """Returns how long the connection may be idle before its next use, in seconds."""
    for header in decode_headers(response):
        if header.name.lower() != "keep-alive":
            continue
        for part in header.value.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and _SECONDS.fullmatch(value.strip()):
                return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
