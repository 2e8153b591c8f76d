"""HTTP calls over the curl client, each with a time limit."""

from __future__ import annotations

import json
from typing import Any, Callable

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

MAX_CONNECTIONS = 512
_REPEATABLE = frozenset({"GET", "HEAD", "DELETE"})
_NEVER_SENT = frozenset({pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST})


class HttpError(Exception):
    """No whole answer came.

    :param may_have_been_sent: whether any byte of the request may have left.
    """

    def __init__(self, detail: str, may_have_been_sent: bool) -> None:
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent


@attrs.frozen
class HttpResponse:
    """The status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the body read as JSON.

        :raises ValueError: if it is not JSON.
        """
        return json.loads(self.body)


class CurlClient(CurlAsyncHTTPClient):
    """The curl client, closed without a late call of its timer."""

    def _handle_timeout(self) -> None:
        # Closing the handles sets the timer once more.
        if self._multi is not None:
            super()._handle_timeout()


class HttpClient:
    """Makes calls to addresses given as ``IP:port``; made for one event loop."""

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
        """Makes one call and returns its answer, whatever its status.

        :param body: sent as it is if it is bytes, else as JSON unless None.
        :raises HttpError: if no whole answer came within ``timeout_s``.
        """
        if timeout_s <= 0:
            raise HttpError(f"{address}: no time is left", may_have_been_sent=False)
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers={"Content-Type": _content_type(body)},
            body=_packed(body),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_get_preparation(method),
            follow_redirects=False,
        )
        try:
            response = await self._client().fetch(request, raise_error=False)
        except CurlError as error:
            sent = error.errno not in _NEVER_SENT
            raise HttpError(f"{address}: {error}", sent) from error
        return HttpResponse(response.code, response.body or b"")

    def close(self) -> None:
        """Closes every connection."""
        if self._curl is not None:
            self._curl.close()
            self._curl = None

    def _client(self) -> CurlClient:
        if self._curl is None:
            self._curl = CurlClient(force_instance=True, max_clients=MAX_CONNECTIONS)
        return self._curl


def _get_preparation(method: str) -> Callable[[pycurl.Curl], None]:
    """Returns what sets up a handle for a method.

    On a connection that it reuses and that dies before an answer, curl sends the
    request again by itself, so a request that must not be repeated gets a new one.
    """
    fresh = int(method not in _REPEATABLE)

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, fresh)

    return prepare


def _content_type(body: Any) -> str:
    return "application/octet-stream" if isinstance(body, bytes) else "application/json"


def _packed(body: Any) -> Any:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body)
