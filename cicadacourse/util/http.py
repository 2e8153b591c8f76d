"""An HTTP client on top of curl; every call has a timeout."""

from __future__ import annotations

import json
from types import MappingProxyType
from typing import Any, Callable, Mapping

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

# Further calls wait for a connection; a call's timeout starts after this wait.
MAX_CONNECTIONS = 64
# curl may resend requests of these methods on its own.
_RETRYABLE_METHODS = frozenset({"GET", "HEAD", "DELETE"})
# curl fails with these errors before it sends any byte of the request.
_NEVER_SENT = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class HttpError(Exception):
    """A call ended without a complete response.

    :param detail: the address and what failed.
    :param may_have_been_sent: whether any byte of the request may have been sent.
    :param is_silent: whether a connection that had been used before gave no byte of the
        response in time. The server may answer at once on a new one.
    """

    def __init__(
        self, detail: str, may_have_been_sent: bool, is_silent: bool = False
    ) -> None:
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent
        self.is_silent = is_silent


@attrs.frozen
class HttpResponse:
    """The status and the body of a response, and its headers by lower-case name."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})

    def json(self) -> Any:
        """Returns the body parsed as JSON.

        :raises ValueError: if it is not JSON.
        """
        return json.loads(self.body)


class _Request(HTTPRequest):
    """A request that keeps whether it fell silent on a connection used before."""

    is_silent = False


class CurlClient(CurlAsyncHTTPClient):
    """A curl client whose timer may still fire after it was closed.

    :ivar in_progress: how many calls are in progress.
    """

    in_progress = 0

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        # Another call may use the handle as soon as this one is finished.
        if curl_error == pycurl.E_OPERATION_TIMEDOUT:
            # A connection that was not made in time does not count as made.
            is_sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
            is_kept = is_sent and curl.getinfo(pycurl.NUM_CONNECTS) == 0
            has_response = curl.getinfo(pycurl.HEADER_SIZE) > 0
            request = curl.info["request"].request
            request.is_silent = is_kept and not has_response
        super()._finish(curl, curl_error, curl_message)

    def _handle_timeout(self) -> None:
        # Closing the handles starts the timer once more, which then finds no handle.
        if self._multi is not None:
            super()._handle_timeout()


class HttpClient:
    """Calls servers at ``IP:port`` addresses; belongs to one event loop.

    Open connections may fall silent together. So once a call has timed out, none of the
    connections that were open then is used for another call.
    """

    def __init__(self) -> None:
        self._curl: CurlClient | None = None
        # Clients with calls in progress that take no further ones.
        self._retired: list[CurlClient] = []

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: Any = None,
        connect_timeout_s: float | None = None,
    ) -> HttpResponse:
        """Sends one request and returns its response, whatever the status.

        :param body: sent as it is if it is bytes, not sent if None, otherwise as JSON.
        :param connect_timeout_s: time limit for a new connection; ``timeout_s`` if it
            is None.
        :raises HttpError: if the call fails or gets no complete response within
            ``timeout_s`` seconds of its start.
        """
        if timeout_s <= 0:
            raise HttpError(
                f"{address}: no time left for the call", may_have_been_sent=False
            )
        request = _Request(
            f"http://{address}{path}",
            method=method,
            headers={"Content-Type": _content_type(body)},
            body=_encode_body(body),
            connect_timeout=connect_timeout_s or timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_get_curl_setup(method),
            follow_redirects=False,
        )
        client = self._client()
        client.in_progress += 1
        try:
            response = await client.fetch(request, raise_error=False)
        except CurlError as error:
            if error.errno == pycurl.E_OPERATION_TIMEDOUT:
                self._retire(client)
            sent = error.errno not in _NEVER_SENT
            raise HttpError(f"{address}: {error}", sent, request.is_silent) from error
        finally:
            client.in_progress -= 1
            self._close_if_retired(client)
        headers = {name.lower(): text for name, text in response.headers.get_all()}
        return HttpResponse(response.code, response.body or b"", headers)

    def close(self) -> None:
        """Closes every connection."""
        for client in (self._curl, *self._retired):
            if client is not None:
                client.close()
        self._curl = None
        self._retired.clear()

    def _retire(self, client: CurlClient) -> None:
        """Makes new calls use new connections; those in progress go on."""
        if client is self._curl:
            self._curl = None
            self._retired.append(client)

    def _close_if_retired(self, client: CurlClient) -> None:
        if client in self._retired and not client.in_progress:
            self._retired.remove(client)
            client.close()

    def _client(self) -> CurlClient:
        if self._curl is None:
            self._curl = CurlClient(force_instance=True, max_clients=MAX_CONNECTIONS)
        return self._curl


def _get_curl_setup(method: str) -> Callable[[pycurl.Curl], None]:
    """Returns a function that sets up a curl handle for a method.

    If a reused connection breaks before the response, curl resends the request on its
    own. A request that must not be sent twice therefore gets a new connection.
    """
    fresh = int(method not in _RETRYABLE_METHODS)

    def set_up(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, fresh)

    return set_up


def _content_type(body: Any) -> str:
    return "application/octet-stream" if isinstance(body, bytes) else "application/json"


def _encode_body(body: Any) -> Any:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body)
