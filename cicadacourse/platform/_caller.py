"""A client for operators who send a request by hand."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from typing import Callable, Sequence
from urllib.parse import urlencode

import attrs
import h11
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind, Execution
from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S, now
from cicadacourse.util.connection import HttpConnection, HttpConnectionError
from cicadacourse.util.http import HttpClient, HttpError

LOOK_UP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Delay before the next attempt if the response has no Retry-After header, or if no
# connection was made.
RETRY_DELAY_S = 0.2
# Statuses of requests that have not run and will not run and that a retry may help.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_OK = 200
_MULTIPLE_CHOICES = 300
_BAD_REQUEST = 400


@attrs.frozen(kw_only=True)
class RequestSpec:
    """One request as an operator specifies it.

    :param key: the organisation's key, or None for public routes.
    :param prompt_tokens: size of the prompt for model engines, else None.
    :param time_limit_s: limit of all attempts together, in seconds.
    """

    host: str
    path: str
    method: str = "POST"
    body: bytes = b""
    key: str | None = None
    model: str = ""
    prompt_tokens: int | None = None
    max_output_tokens: int = 0
    time_limit_s: float = 60.0


@attrs.frozen
class RequestOutcome:
    """How a request ended.

    :param request_id: the id of the last attempt, for ``cicadacourse explain``.
    :param status: HTTP status of the last response, 0 if there was none.
    :param is_whole: whether the response was received to its end.
    :param has_run: False if the request surely did not run, True if it may have run.
    :param attempts: number of attempts, including those that made no connection.
    :param seconds: time from the first look-up to the end of the last attempt.
    :param detail: the reason of a failure, or empty.
    """

    request_id: str
    status: int
    is_whole: bool
    has_run: bool
    attempts: int
    seconds: float
    detail: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the whole response was received and its status is a 2xx."""
        return self.is_whole and _OK <= self.status < _MULTIPLE_CHOICES


class Caller:
    """Looks up instances and sends requests; retries only what surely did not run.

    A refusal that a retry would not change, such as a 404, is not retried.

    :param directories: addresses of look-up services, tried in this order.
    :param write: called with each part of the response body as it is received, unless
        the request did not run.
    """

    def __init__(
        self, directories: Sequence[str], write: Callable[[bytes], None]
    ) -> None:
        self._directories = directories
        self._write = write

    async def send_request(self, spec: RequestSpec) -> Result[RequestOutcome, Error]:
        """Sends one request, with retries, and returns how it ended.

        :returns: a Failure of kind ``PEER_UNREACHABLE`` if no instance was found.
        """
        started = now()
        deadline = started + spec.time_limit_s
        attempts = 0
        while True:
            match await self._look_up(spec.host):
                case Success(addresses):
                    pass
                case Failure() as failure:
                    return failure
            attempts += 1
            address = random.choice(addresses)
            outcome, retry_after_s = await self._send(address, spec, deadline)
            outcome = attrs.evolve(outcome, attempts=attempts, seconds=now() - started)
            if not _is_retryable(outcome) or now() + retry_after_s >= deadline:
                return Success(outcome)
            await asyncio.sleep(retry_after_s)

    async def _look_up(self, host: str) -> Result[list[str], Error]:
        """Returns the instance addresses from the first directory that has any."""
        detail = "no directory address was given"
        http = HttpClient()
        try:
            for directory in self._directories:
                path = f"{names.PATH_RESOLVE}?{urlencode({'name': host})}"
                try:
                    response = await http.request(
                        "GET", directory, path, LOOK_UP_TIMEOUT_S
                    )
                    if response.status == _OK and response.json()["addresses"]:
                        return Success(response.json()["addresses"])
                    detail = f"{directory} answered with status {response.status}"
                except (HttpError, ValueError, KeyError, TypeError) as error:
                    detail = f"{directory}: {error}"
        finally:
            http.close()
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))

    async def _send(
        self, address: str, spec: RequestSpec, deadline: float
    ) -> tuple[RequestOutcome, float]:
        """Makes one attempt; returns how it ended and the delay before a retry."""
        request_id = secrets.token_hex(8)
        outcome = RequestOutcome(
            request_id, 0, is_whole=False, has_run=True, attempts=0, seconds=0
        )
        try:
            connection = await HttpConnection.connect(address, CONNECT_TIMEOUT_S)
        except HttpConnectionError as error:
            return (
                attrs.evolve(outcome, has_run=False, detail=str(error)),
                RETRY_DELAY_S,
            )
        try:
            async with asyncio.timeout_at(deadline):
                return await self._exchange(connection, spec, outcome, deadline)
        except TimeoutError:
            return attrs.evolve(outcome, detail="no complete response in time"), 0.0
        except HttpConnectionError as error:
            return attrs.evolve(outcome, detail=str(error)), 0.0
        finally:
            connection.close()

    async def _exchange(
        self,
        connection: HttpConnection,
        spec: RequestSpec,
        outcome: RequestOutcome,
        deadline: float,
    ) -> tuple[RequestOutcome, float]:
        headers = _headers(spec, outcome.request_id, deadline - now())
        connection.send(spec.method, spec.path, headers, spec.body)
        response = await connection.receive()
        if not isinstance(response, h11.Response):
            raise HttpConnectionError("no response head was received")
        outcome = attrs.evolve(outcome, status=response.status_code)
        may_be_refusal = _may_be_refusal(response)
        body = b""
        while isinstance(part := await connection.receive(), h11.Data):
            if may_be_refusal:
                body += part.data
            else:
                self._write(bytes(part.data))
        has_run = outcome.status not in NOT_RUN_STATUSES and not _says_not_run(body)
        if has_run and body:
            self._write(body)
        detail = "" if has_run else _read_detail(body)
        outcome = attrs.evolve(outcome, is_whole=True, has_run=has_run, detail=detail)
        return outcome, _retry_after_s(response)


def _is_retryable(outcome: RequestOutcome) -> bool:
    """Returns whether a request that did not run may succeed if it is sent again."""
    return not outcome.has_run and outcome.status in (0, *NOT_RUN_STATUSES)


def _may_be_refusal(response: h11.Response) -> bool:
    """Returns False for responses that only an endpoint gives, which it signs."""
    if response.status_code in NOT_RUN_STATUSES:
        return True
    signature = names.HEADER_SIGNATURE.lower().encode()
    is_signed = any(name == signature for name, _ in response.headers)
    return response.status_code >= _BAD_REQUEST and not is_signed


def _says_not_run(body: bytes) -> bool:
    """Returns whether a body is that of a refusal by an instance, before it ran."""
    try:
        return json.loads(body)["run"] == Execution.NOT_RUN.value
    except (ValueError, KeyError, TypeError):
        return False


def _headers(
    spec: RequestSpec, request_id: str, time_left_s: float
) -> list[tuple[str, str]]:
    headers = [
        ("Host", spec.host),
        (names.HEADER_REQUEST_ID, request_id),
        (names.HEADER_TIME_LEFT_MS, str(int(time_left_s * MS_PER_S))),
        ("Content-Length", str(len(spec.body))),
    ]
    if spec.key is not None:
        headers.append(("Authorization", f"{names.AUTH_SCHEME} {spec.key}"))
    if spec.prompt_tokens is not None:
        tokens = f"{spec.prompt_tokens},{spec.max_output_tokens}"
        headers.append((names.HEADER_TOKEN_COUNTS, tokens))
        headers.append((names.HEADER_MODEL, spec.model))
    return headers


def _retry_after_s(response: h11.Response) -> float:
    """Returns the value of the Retry-After header, or the default delay, in seconds."""
    for name, value in response.headers:
        if name == b"retry-after":
            try:
                return max(0.0, float(value))
            except ValueError:
                return RETRY_DELAY_S
    return RETRY_DELAY_S


def _read_detail(body: bytes) -> str:
    """Returns the detail of a refusal by an instance, or the body as text."""
    try:
        return json.loads(body)["detail"]
    except (ValueError, KeyError, TypeError):
        return body.decode(errors="replace")
