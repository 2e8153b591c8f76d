"""Callers: each sends requests on an open connection until the connection is gone."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from typing import Iterator

import attrs

from cicadacourse.util.clock import now
from soak._instances import InstanceProcess
from soak._world import SoakEnvironment
from standins.callers import Response, encode_request, read_response
from standins.platform import PROFILE

# Answers with these say that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
TIMEOUT_S = 3.0
# A caller that hears nothing for this long beyond its timeout gives up.
PATIENCE_S = 3.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.15
REQUEST_PAUSE_S = 0.1


@attrs.frozen
class Kind:
    """One kind of request.

    :param path: names the route.
    :param tokens: tokens of the prompt, 0 for calls.
    :param output_tokens: tokens that are written, 0 for calls.
    :param is_repeatable: whether it may run more than once.
    :param weight: how often it is sent, against the others.
    """

    path: str
    tokens: int = 0
    output_tokens: int = 0
    is_repeatable: bool = True
    weight: int = 1

    @property
    def events(self) -> int:
        """How many events its whole answer has."""
        return -(-self.output_tokens // PROFILE.steps_per_pass)


BOOKING = Kind("/book/x", is_repeatable=False, weight=5)
LOOKUP = Kind("/look/x", weight=4)
SHORT = Kind("/ask/x", 4000, 460, weight=8)
LONG = Kind("/ask/x", 150_000, 230, weight=2)
HUGE = Kind("/ask/x", 460_000, 92, weight=1)
KINDS = (BOOKING, LOOKUP, SHORT, LONG, HUGE)


@attrs.frozen
class Attempt:
    """One request as it was sent and what came back.

    :param id: its own id.
    :param answer: None if none came, or it was cut.
    :param started: when it was sent, loop time in seconds.
    :param ended: when its answer ended, or its connection.
    """

    id: str
    kind: Kind
    instance: InstanceProcess
    key: str
    answer: Response | None
    started: float
    ended: float

    @property
    def status(self) -> int:
        """The status of a whole answer, else 0."""
        return self.answer.status if self.answer and self.answer.is_complete else 0

    @property
    def is_promise(self) -> bool:
        """Whether it was answered that it has not run."""
        return self.status in PROMISES


@attrs.define(eq=False)
class Caller:
    """One caller with its connection.

    :param world: whose instances it asks.
    :param name: distinguishes its requests from others'.
    :ivar chooser: draws what it sends.
    """

    world: SoakEnvironment
    name: str
    chooser: random.Random = attrs.field(init=False)
    _instance: InstanceProcess | None = None
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @chooser.default
    def _make_chooser(self) -> random.Random:
        return self.world.random_of(self.name)

    async def request(self, kind: Kind, key: str) -> list[Attempt]:
        """Sends one request, again where it may, and returns all attempts."""
        attempts: list[Attempt] = []
        for _ in range(MAX_ATTEMPTS):
            attempt = await self.send(kind, key)
            if attempt is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            attempts.append(attempt)
            if attempt.status == 200:
                break
            if not kind.is_repeatable and not attempt.is_promise:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return attempts

    async def send(self, kind: Kind, key: str) -> Attempt | None:
        """Sends one attempt; None if no instance could be connected to."""
        if not await self._connect():
            return None
        instance = self._instance
        id = f"{self.name}-{next(self._numbers)}"
        started = now()
        tokens = f"{kind.tokens},{kind.output_tokens}" if kind.tokens else None
        timeout_ms = int(TIMEOUT_S * 1000)
        self._writer.write(encode_request(kind.path, id, timeout_ms, key, tokens))
        answer = None
        try:
            async with asyncio.timeout(TIMEOUT_S + PATIENCE_S):
                answer = await read_response(self._reader)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.close()
        else:
            if not answer.is_complete or answer.headers.get("connection") == "close":
                self.close()
        return Attempt(id, kind, instance, key, answer, started, now())

    async def _connect(self) -> bool:
        """Keeps the open connection or opens one to an instance drawn anew."""
        if self._writer is not None:
            return True
        instance = self.chooser.choice(self.world.instances)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    instance.host, instance.caller_port
                )
                self._instance = instance
                return True
        return False

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None
