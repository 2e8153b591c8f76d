"""A caller of the system, for operators who try a request by hand."""

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

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.platform import _names as names
from cicadacourse.util.channel import HttpConnection, HttpConnectionError
from cicadacourse.util.clock import MS_PER_S, now
from cicadacourse.util.http import HttpClient, HttpError

LOOK_UP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Between tries where the answer names no time to come back.
RETRY_PAUSE_S = 0.2
# Statuses that say that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_OK = 200
_MULTIPLE_CHOICES = 300


@attrs.frozen(kw_only=True)
class RequestSpec:
    """One request as an operator asks it.

    :param key: the organisation's key, or None for public routes.
    :param prompt_tokens: for model engines, else None.
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
    :param status: of the last answer, 0 if there was none.
    :param is_whole: whether the answer came to its end.
    :param has_run: False if an answer said that it never ran.
    :param detail: what went wrong, or empty.
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
        """Whether the whole answer came and tells of success."""
        return self.is_whole and _OK <= self.status < _MULTIPLE_CHOICES


class Caller:
    """Looks up instances and sends requests, again only where none has run.

    :param directories: addresses that are asked where to connect.
    :param write: takes the bytes of the answer as they come.
    """

    def __init__(
        self, directories: Sequence[str], write: Callable[[bytes], None]
    ) -> None:
        self._directories = directories
        self._write = write

    async def send_request(self, spec: RequestSpec) -> Result[RequestOutcome, Error]:
        """Sends one request; a Failure if no instance could be found."""
        started = now()
        deadline = started + spec.time_limit_s
        attempts = 0
        while True:
            match await self._look_up(spec.host):
                case Success(addresses):
                    pass
                case failure:
                    return failure
            attempts += 1
            address = random.choice(addresses)
            told, retry_after_s = await self._send(address, spec, deadline)
            told = attrs.evolve(told, attempts=attempts, seconds=now() - started)
            if told.has_run or now() + retry_after_s >= deadline:
                return Success(told)
            await asyncio.sleep(retry_after_s)

    async def _look_up(self, host: str) -> Result[list[str], Error]:
        """Returns the addresses that the first directory names."""
        detail = "no directory was given"
        http = HttpClient()
        try:
            for directory in self._directories:
                path = f"{names.PATH_RESOLVE}?{urlencode({'name': host})}"
                try:
                    answer = await http.request(
                        "GET", directory, path, LOOK_UP_TIMEOUT_S
                    )
                    if answer.status == _OK and answer.json()["addresses"]:
                        return Success(answer.json()["addresses"])
                    detail = f"{directory} answered {answer.status}"
                except (HttpError, ValueError, KeyError, TypeError) as error:
                    detail = f"{directory}: {error}"
        finally:
            http.close()
        return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))

    async def _send(
        self, address: str, question: RequestSpec, deadline: float
    ) -> tuple[RequestOutcome, float]:
        """Makes one attempt; returns how it ended and when to come back."""
        request_id = secrets.token_hex(8)
        told = RequestOutcome(
            request_id, 0, is_whole=False, has_run=True, attempts=0, seconds=0
        )
        try:
            connection = await HttpConnection.connect(address, CONNECT_TIMEOUT_S)
        except HttpConnectionError as error:
            return attrs.evolve(told, has_run=False, detail=str(error)), RETRY_PAUSE_S
        try:
            async with asyncio.timeout_at(deadline):
                return await self._exchange(connection, question, told, deadline)
        except TimeoutError:
            return attrs.evolve(told, detail="no answer in time"), 0.0
        except HttpConnectionError as error:
            return attrs.evolve(told, detail=str(error)), 0.0
        finally:
            connection.close()

    async def _exchange(
        self,
        connection: HttpConnection,
        question: RequestSpec,
        told: RequestOutcome,
        deadline: float,
    ) -> tuple[RequestOutcome, float]:
        headers = _headers(question, told.request_id, deadline - now())
        connection.send(question.method, question.path, headers, question.body)
        response = await connection.receive()
        if not isinstance(response, h11.Response):
            raise HttpConnectionError("no answer's head")
        told = attrs.evolve(told, status=response.status_code)
        has_run = told.status not in NOT_RUN_STATUSES
        body = b""
        while isinstance(part := await connection.receive(), h11.Data):
            if has_run:
                self._write(bytes(part.data))
            else:
                body += part.data
        told = attrs.evolve(
            told, is_whole=True, has_run=has_run, detail=_reason_of(body)
        )
        return told, _retry_after_s(response)


def _headers(
    question: RequestSpec, request_id: str, time_left_s: float
) -> list[tuple[str, str]]:
    headers = [
        ("Host", question.host),
        (names.HEADER_REQUEST_ID, request_id),
        (names.HEADER_TIME_LEFT_MS, str(int(time_left_s * MS_PER_S))),
        ("Content-Length", str(len(question.body))),
    ]
    if question.key is not None:
        headers.append(("Authorization", f"{names.KEY_SCHEME} {question.key}"))
    if question.prompt_tokens is not None:
        tokens = f"{question.prompt_tokens},{question.max_output_tokens}"
        headers.append((names.HEADER_TOKEN_COUNTS, tokens))
        headers.append((names.HEADER_MODEL, question.model))
    return headers


def _retry_after_s(response: h11.Response) -> float:
    """Returns when an answer says to come back, in seconds."""
    for name, value in response.headers:
        if name == b"retry-after":
            try:
                return max(0.0, float(value))
            except ValueError:
                return RETRY_PAUSE_S
    return RETRY_PAUSE_S


def _reason_of(body: bytes) -> str:
    """Returns the system's own sentence on a refusal, or the bytes as they are."""
    try:
        return json.loads(body)["detail"]
    except (ValueError, KeyError, TypeError):
        return body.decode(errors="replace")
