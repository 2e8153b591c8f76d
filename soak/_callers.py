"""Callers, each of which reuses one connection until it closes, breaks or times out."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from types import MappingProxyType
from typing import Iterator, Mapping

import attrs

from cicadacourse.util.clock import now
from soak._environment import SoakEnvironment
from soak._instances import InstanceProcess
from standins.callers import Response, encode_request, read_response
from standins.platform import PROFILE

# A response with one of these statuses guarantees that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
TIMEOUT_S = 3.0
# A caller closes its connection if the response is not complete this long after the
# request's timeout.
RESPONSE_GRACE_S = 3.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.15
# The mean pause of a caller between the end of a request and the next one.
REQUEST_PAUSE_S = 0.1
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@attrs.frozen
class RequestKind:
    """One kind of request.

    :param path: the path, which selects the route.
    :param tokens: tokens of the prompt, 0 for calls to the plain service.
    :param output_tokens: tokens to decode, 0 for calls.
    :param is_idempotent: whether it may be executed more than once.
    :param weight: how often it is sent, relative to the other kinds.
    :param body: the body of each request.
    """

    path: str
    tokens: int = 0
    output_tokens: int = 0
    is_idempotent: bool = True
    weight: int = 1
    body: bytes = b""

    @property
    def events(self) -> int:
        """The number of events in its complete response."""
        return -(-self.output_tokens // PROFILE.steps_per_pass)


BOOKING = RequestKind("/book/x", is_idempotent=False, weight=5)
LOOKUP = RequestKind("/look/x", weight=4)
SHORT = RequestKind("/ask/x", 4000, 460, weight=8)
LONG = RequestKind("/ask/x", 150_000, 230, weight=2)
HUGE = RequestKind("/ask/x", 460_000, 92, weight=1)
REQUEST_KINDS = (BOOKING, LOOKUP, SHORT, LONG, HUGE)


@attrs.frozen
class Attempt:
    """One attempt of a request and its response.

    :param id: the request id, of this attempt alone.
    :param response: None if none was received in time, or the connection ended first.
    :param started: when it was sent, loop time in seconds.
    :param ended: when its response or its connection ended, loop time in seconds.
    """

    id: str
    kind: RequestKind
    instance: InstanceProcess
    key: str
    response: Response | None
    started: float
    ended: float

    @property
    def status(self) -> int:
        """The status of a complete response, else 0."""
        return (
            self.response.status if self.response and self.response.is_complete else 0
        )

    @property
    def is_not_executed(self) -> bool:
        """Whether the response guarantees that the request was not executed."""
        return self.status in NOT_EXECUTED_STATUSES


@attrs.frozen
class _Connection:
    """An open connection to an instance."""

    instance: InstanceProcess
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@attrs.define(eq=False)
class Caller:
    """One caller with its connection.

    :param environment: its instances receive the requests.
    :param name: the prefix of the caller's request ids, and part of its random seed.
    :ivar chooser: draws the kinds of requests, the pauses and the instances.
    """

    environment: SoakEnvironment
    name: str
    chooser: random.Random = attrs.field(init=False)
    _connection: _Connection | None = None
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @chooser.default
    def _make_chooser(self) -> random.Random:
        return self.environment.random_for(self.name)

    async def request(
        self, kind: RequestKind, key: str, headers: Mapping[str, str] = NO_HEADERS
    ) -> list[Attempt]:
        """Sends one request with its retries and returns all attempts.

        A request that is not idempotent is retried only if it was not executed.

        :param headers: further header fields.
        """
        attempts: list[Attempt] = []
        for _ in range(MAX_ATTEMPTS):
            attempt = await self.send(kind, key, headers)
            if attempt is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            attempts.append(attempt)
            if attempt.status == 200:
                break
            if not kind.is_idempotent and not attempt.is_not_executed:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return attempts

    async def send(
        self,
        kind: RequestKind,
        key: str,
        headers: Mapping[str, str] = NO_HEADERS,
        leave_after_s: float = TIMEOUT_S + RESPONSE_GRACE_S,
    ) -> Attempt | None:
        """Sends one attempt and returns it, or None if no connection opens.

        :param leave_after_s: closes the connection if it has no whole response by then.
        """
        connection = await self._connect()
        if connection is None:
            return None
        id = f"{self.name}-{next(self._numbers)}"
        started = now()
        tokens = f"{kind.tokens},{kind.output_tokens}" if kind.tokens else None
        timeout_ms = int(TIMEOUT_S * 1000)
        connection.writer.write(
            encode_request(
                kind.path, id, timeout_ms, key, tokens, body=kind.body, headers=headers
            )
        )
        response = None
        try:
            async with asyncio.timeout(leave_after_s):
                response = await read_response(connection.reader)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.close()
        else:
            if (
                not response.is_complete
                or response.headers.get("connection") == "close"
            ):
                self.close()
        return Attempt(id, kind, connection.instance, key, response, started, now())

    async def _connect(self) -> _Connection | None:
        """Returns the open connection, else a new one to a random instance.

        :returns: None if no connection can be opened.
        """
        if self._connection is not None:
            return self._connection
        instance = self.chooser.choice(self.environment.instances)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                streams = await asyncio.open_connection(
                    instance.host, instance.caller_port
                )
                self._connection = _Connection(instance, *streams)
        return self._connection

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.writer.close()
        self._connection = None
