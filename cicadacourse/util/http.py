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
MAX_CONNECTIONS = 512
# curl may resend requests of these methods on its own.
_RETRYABLE_METHODS = frozenset({"GET", "HEAD", "DELETE"})
# curl fails with these errors before it sends any byte of the request.
_NEVER_SENT = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class HttpError(Exception):
    """A call ended without a complete response.

    :param detail: the address and what failed.
    :param may_have_been_sent: whether any byte of the request may have been sent.
    """

    def __init__(self, detail: str, may_have_been_sent: bool) -> None:
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent


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


class CurlClient(CurlAsyncHTTPClient):
    """A curl client whose timer may still fire after it was closed."""

    def _handle_timeout(self) -> None:
        # Closing the handles starts the timer once more, which then finds no handle.
        if self._multi is not None:
            super()._handle_timeout()


class HttpClient:
    """Calls servers at ``IP:port`` addresses; belongs to one event loop."""

    def __init__(self) -> None:
        self._curl: CurlClient | None = None

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: Any = None,
    ) -> HttpResponse:
        """Sends one request and returns its response, whatever the status.

        :param body: sent as it is if it is bytes, not sent if None, otherwise as JSON.
        :raises HttpError: if the call fails or gets no complete response within
            ``timeout_s`` seconds of its start.
        """
        if timeout_s <= 0:
            raise HttpError(
                f"{address}: no time left for the call", may_have_been_sent=False
            )
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers={"Content-Type": _content_type(body)},
            body=_encode_body(body),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_get_curl_setup(method),
            follow_redirects=False,
        )
        try:
            response = await self._client().fetch(request, raise_error=False)
        except CurlError as error:
            sent = error.errno not in _NEVER_SENT
            raise HttpError(f"{address}: {error}", sent) from error
        headers = {name.lower(): text for name, text in response.headers.get_all()}
        return HttpResponse(response.code, response.body or b"", headers)

    def close(self) -> None:
        """Closes every connection."""
        if self._curl is not None:
            self._curl.close()
            self._curl = None

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
