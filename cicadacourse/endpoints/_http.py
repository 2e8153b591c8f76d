"""The endpoint client over HTTP."""

from __future__ import annotations

import contextlib
import json
from typing import Any, AsyncIterator, Callable, TypeVar

from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPRequest

from cicadacourse.application import SERVICES, Application
from cicadacourse.config import InstanceSettings
from cicadacourse.endpoints._answers import (
    to_export,
    to_load,
    to_nothing,
    to_session_list,
    to_state,
)
from cicadacourse.endpoints._client import EndpointClient, Lines
from cicadacourse.endpoints._curl import HTTP_OK, AbortableCurlClient, BodyStream
from cicadacourse.endpoints._lines import LineReader, to_error
from cicadacourse.endpoints._model import (
    Endpoint,
    EngineLoad,
    EngineState,
    GrantView,
    KvExport,
    Order,
    SessionList,
    WorkView,
)
from cicadacourse.endpoints._settings import EndpointSettings
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.tokens import count_tokens

T = TypeVar("T")

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024


@SERVICES.register("endpoint_client")
class HttpEndpointClient(EndpointClient):
    """Calls endpoints over kept connections of the curl client."""

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._settings = app.settings.get(EndpointSettings)
        self._curl_client: AbortableCurlClient | None = None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Holds the connections for as long as the service runs."""
        self._curl_client = AbortableCurlClient(
            force_instance=True, max_clients=self._settings.max_connections
        )
        try:
            yield
        finally:
            self._curl_client.close()

    @contextlib.asynccontextmanager
    async def generate(
        self,
        endpoint: Endpoint,
        grant: GrantView,
        work: WorkView,
        prompt: str,
        emitted: str,
        time_left_s: float,
    ) -> AsyncIterator[Lines]:
        members = [
            {"address": member.endpoint.address, "session": member.session}
            for member in grant.members
        ]
        body = {
            "session": grant.session,
            "request": work.request_id,
            "attempt": work.attempt,
            "owner": self.app.settings.get(InstanceSettings).name,
            "prompt": prompt,
            "emitted": emitted,
            "max_tokens": count_tokens(emitted) + work.max_output_tokens,
            "priority": grant.priority,
            "time_limit_s": time_left_s,
            "members": members,
        }
        request = self._request(endpoint, "POST", "/sessions", time_left_s, body)
        async with self._stream(endpoint, request) as lines:
            yield lines

    @contextlib.asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, session: str, position: int, time_left_s: float
    ) -> AsyncIterator[Lines]:
        path = f"/sessions/{session}/stream?position={position}"
        request = self._request(endpoint, "GET", path, time_left_s)
        async with self._stream(endpoint, request) as lines:
            yield lines

    async def call(
        self,
        endpoint: Endpoint,
        request_id: str,
        attempt: int,
        organisation: str,
        body: Any,
        time_left_s: float,
    ) -> Result[Any, Error]:
        message = {
            "request": request_id,
            "attempt": attempt,
            "organisation": organisation,
            "body": body,
        }

        def to_result(answer: dict[str, Any]) -> Any:
            if (answer["request"], answer["attempt"]) != (request_id, attempt):
                raise ValueError("answer of another request")
            return answer["result"]

        return await self._ask(
            endpoint, "POST", "/calls", time_left_s, message, to_result, once=True
        )

    async def release(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[None, Error]:
        path = f"/sessions/{session}"
        return await self._ask(endpoint, "DELETE", path, timeout_s, None, to_nothing)

    async def sessions(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[SessionList, Error]:
        return await self._ask(
            endpoint, "GET", "/sessions", timeout_s, None, to_session_list
        )

    async def reserve(
        self,
        endpoint: Endpoint,
        session: str,
        owner: str,
        kv_tokens: int,
        time_limit_s: float,
        timeout_s: float,
    ) -> Result[None, Error]:
        body = {
            "session": session,
            "owner": owner,
            "kv_tokens": kv_tokens,
            "time_limit_s": time_limit_s,
        }
        return await self._ask(
            endpoint, "POST", "/reservations", timeout_s, body, to_nothing
        )

    async def prefill(
        self,
        endpoint: Endpoint,
        session: str,
        prompt: str,
        offset: int,
        timeout_s: float,
    ) -> Result[None, Error]:
        path = f"/sessions/{session}/prefill"
        body = {"prompt": prompt, "offset": offset}
        return await self._ask(endpoint, "POST", path, timeout_s, body, to_nothing)

    async def export(
        self, endpoint: Endpoint, session: str, timeout_s: float
    ) -> Result[KvExport, Error]:
        path = f"/sessions/{session}/export"
        return await self._ask(endpoint, "POST", path, timeout_s, {}, to_export)

    async def import_kv(
        self,
        endpoint: Endpoint,
        session: str,
        from_address: str,
        handle: str,
        owner: str,
        time_limit_s: float,
        timeout_s: float,
    ) -> Result[None, Error]:
        body = {
            "session": session,
            "from_address": from_address,
            "handle": handle,
            "owner": owner,
            "time_limit_s": time_limit_s,
        }
        return await self._ask(
            endpoint, "POST", "/imports", timeout_s, body, to_nothing
        )

    async def load(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineLoad, Error]:
        return await self._ask(endpoint, "GET", "/load", timeout_s, None, to_load)

    async def state(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[EngineState, Error]:
        return await self._ask(endpoint, "GET", "/state", timeout_s, None, to_state)

    async def order(
        self, endpoint: Endpoint, order: Order, timeout_s: float
    ) -> Result[None, Error]:
        body = {
            "token": order.token,
            "holder": order.holder,
            "model": order.model,
            "model_version": order.model_version,
            "adapter": order.adapter,
            "role": order.role,
        }
        answer = await self._ask(
            endpoint, "POST", "/orders", timeout_s, body, to_nothing
        )
        return answer.alt(_to_fenced)

    def _request(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        time_left_s: float,
        body: Any = None,
    ) -> HTTPRequest:
        return HTTPRequest(
            f"http://{endpoint.address}{path}",
            method=method,
            body=None if body is None else json.dumps(body),
            connect_timeout=min(self._settings.connect_timeout_s, time_left_s),
            request_timeout=time_left_s,
            decompress_response=False,
            follow_redirects=False,
            user_agent="cicadacourse",
        )

    def _body_stream(self, limit_bytes: int) -> BodyStream:
        assert self._curl_client is not None, "the service does not run"
        return BodyStream(self._curl_client, limit_bytes)

    async def _ask(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        timeout_s: float,
        body: Any,
        to_answer: Callable[[Any], T],
        once: bool = False,
    ) -> Result[T, Error]:
        """Sends one request and reads its JSON answer.

        :param once: never send the bytes a second time, also not after the kept
            connection turned out to be closed, as the curl library does by itself.
        """
        if timeout_s <= 0:
            return Failure(Error(ErrorKind.ENDPOINT_UNREACHABLE, "no time left"))
        request = self._request(endpoint, method, path, timeout_s, body)
        stream = self._body_stream(ANSWER_LIMIT_BYTES)
        async with stream.transfer(request, fresh_connection=once):
            content = await stream.read_all()
        if stream.error is not None or stream.status != HTTP_OK:
            return Failure(to_error(endpoint, stream, content))
        try:
            return Success(to_answer(json.loads(content) if content else {}))
        except (ValueError, KeyError, TypeError) as error:
            detail = f"{endpoint.name}: wrong answer: {error}"
            return Failure(Error(ErrorKind.ENDPOINT_FAILED, detail, "wrong_answer"))

    @contextlib.asynccontextmanager
    async def _stream(
        self, endpoint: Endpoint, request: HTTPRequest
    ) -> AsyncIterator[Lines]:
        stream = self._body_stream(self._settings.stream_buffer_bytes)
        async with stream.transfer(request):
            yield LineReader(endpoint, stream)


def _to_fenced(error: Error) -> Error:
    if error.label != "fenced":
        return error
    return Error(ErrorKind.FENCED, error.detail)
