"""The reference caller: looks up instances, asks, checks, and resumes."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import Any, Sequence

import attrs
from tornado.httpclient import HTTPRequest

from cicadacourse.endpoints import AbortableCurlClient, BodyStream
from cicadacourse.util.clock import now
from cicadacourse.util.tokens import count_tokens

LOOK_UP_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 256
MAX_TRIES = 8
PAUSE_BEFORE_RETRY_S = 0.2
GRACE_S = 2.0
BUFFER_BYTES = 262_144

COMPLETE = "complete"
REFUSED = "refused"
UNKNOWN = "unknown"
FAILED = "failed"
NOT_RUN = "not_run"


@attrs.define
class Reply:
    """How one request ended, as its caller saw it.

    :param outcome: ``complete``, ``refused`` (it did not run), ``failed`` (it may
        have run in part and is without effect) or ``unknown``.
    :param text: the answer's text, whole if complete.
    :param error: the error's JSON, if any.
    :param wrong: whether anything but the own answer was received.
    :param resumes: how often the stream was resumed.
    :param first_token_s: time to the first text, in seconds.
    """

    outcome: str = UNKNOWN
    text: str = ""
    result: Any = None
    error: dict[str, Any] | None = None
    wrong: bool = False
    tries: int = 0
    resumes: int = 0
    first_token_s: float | None = None
    seconds: float = 0.0


class _Broken(Exception):
    """The connection broke; ``connected`` if the request may have left."""

    def __init__(self, connected: bool) -> None:
        super().__init__("connection broke")
        self.connected = connected


class Caller:
    """Asks a fleet; looks up which instances to use and keeps the answer.

    :param known_addresses: caller addresses of a few instances, asked in turn.
    """

    def __init__(self, known_addresses: Sequence[str]) -> None:
        self._known = list(known_addresses)
        self._found: list[str] = []
        self._keep_until = 0.0
        self._next = 0
        self._curl = AbortableCurlClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    def close(self) -> None:
        """Closes every connection."""
        self._curl.close()

    async def ask(self, fields: dict[str, Any]) -> Reply:
        """Sends one request and returns how it ended.

        It is sent again only where that is safe: nothing ran, it may be repeated,
        or it goes on with a stream by position.

        :param fields: the request's JSON fields; an id is made if there is none.
        """
        fields = {"request_id": uuid.uuid4().hex, **fields}
        started = now()
        deadline = started + fields.get("time_limit_s", 60.0)
        reply = Reply()
        exchange = _Exchange(fields, reply, started)
        while reply.tries < MAX_TRIES and now() < deadline:
            reply.tries += 1
            pause_s = await self._try_once(exchange, deadline)
            if pause_s is None:
                break
            await asyncio.sleep(min(pause_s, max(deadline - now(), 0)))
        reply.seconds = now() - started
        return reply

    async def _try_once(self, exchange: _Exchange, deadline: float) -> float | None:
        """Returns the pause before another try, or None if there is none."""
        address = await self._address()
        if address is None:
            exchange.note_lost(connected=False)
            return PAUSE_BEFORE_RETRY_S
        body = exchange.body(deadline - now())
        try:
            await self._post(address, body, deadline - now() + GRACE_S, exchange)
        except _Broken as broken:
            self._drop(address)
            exchange.note_lost(broken.connected)
        return exchange.pause_before_retry()

    async def look_up(self) -> list[str]:
        """Returns the addresses to use, asking anew when the kept ones are old."""
        if self._found and now() < self._keep_until:
            return self._found
        for address in [*self._known, *self._found]:
            try:
                content = await self._get(address, "/v1/addresses")
                answer = json.loads(content)
                found = [row["address"] for row in answer["addresses"]]
            except (_Broken, ValueError, KeyError, TypeError):
                continue
            if found:
                self._found = found
                self._keep_until = now() + answer["keep_s"]
                return found
        return self._found

    async def _address(self) -> str | None:
        found = await self.look_up()
        if not found:
            return None
        self._next += 1
        return found[self._next % len(found)]

    def _drop(self, address: str) -> None:
        """Forgets an address that failed; with none left, looks up anew."""
        self._found = [kept for kept in self._found if kept != address]
        if self._known and self._known[0] == address:
            self._known.append(self._known.pop(0))

    async def _get(self, address: str, path: str) -> bytes:
        request = HTTPRequest(
            f"http://{address}{path}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=LOOK_UP_TIMEOUT_S,
        )
        stream = BodyStream(self._curl, BUFFER_BYTES)
        async with stream.transfer(request):
            content = await stream.read_all()
        if stream.error is not None:
            raise _Broken(stream.connected)
        return content

    async def _post(
        self, address: str, body: bytes, timeout_s: float, exchange: _Exchange
    ) -> None:
        request = HTTPRequest(
            f"http://{address}/v1/requests",
            method="POST",
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=max(timeout_s, GRACE_S),
        )
        stream = BodyStream(self._curl, BUFFER_BYTES)
        # A kept connection that closes would make the curl library send again.
        async with stream.transfer(request, fresh_connection=True):
            while not exchange.over:
                lines = await stream.read_lines()
                if not lines:
                    raise _Broken(stream.connected)
                exchange.take_lines(lines)


@attrs.define
class _Exchange:
    """One request over all its tries."""

    fields: dict[str, Any]
    reply: Reply
    started: float
    position: int = 0
    token: str = ""
    may_have_run: bool = False
    ended: bool = False

    def body(self, time_left_s: float) -> bytes:
        """Returns the request's body, with what is already here of its answer."""
        self.reply.error = None
        fields = {**self.fields, "time_limit_s": max(time_left_s, 0.001)}
        if self.position:
            self.reply.resumes += 1
            fields["resume"] = {
                "position": self.position,
                "token": self.token,
                "text": self.reply.text,
            }
        return json.dumps(fields).encode()

    @property
    def over(self) -> bool:
        """Whether this try was answered."""
        return self.ended or self.reply.error is not None

    def take_lines(self, lines: list[bytes]) -> None:
        """Reads lines up to the end mark, a result or an error."""
        for text in lines:
            if self.over:
                return
            try:
                self._take(json.loads(text))
            except (ValueError, KeyError, TypeError):
                raise _Broken(connected=True) from None

    def _take(self, line: dict[str, Any]) -> None:
        if "error" in line:
            self._take_error(line["error"])
            return
        self.may_have_run = True
        if line.get("request") != self.fields["request_id"]:
            self.reply.wrong = True
        elif "result" in line:
            self.reply.result = line["result"]
            self._end()
        elif "resume" in line:
            self.token = line["resume"]
        elif line.get("position") != self.position:
            self.reply.wrong = True
        elif line.get("end"):
            self._end()
        else:
            self._take_text(line["text"])

    def _take_text(self, text: str) -> None:
        if self.reply.first_token_s is None:
            self.reply.first_token_s = now() - self.started
        self.reply.text += text
        self.position += count_tokens(text)

    def _take_error(self, error: dict[str, Any]) -> None:
        self.reply.error = error
        run = error.get("run")
        self.may_have_run = self.may_have_run or run != NOT_RUN
        self.reply.outcome = FAILED if run == FAILED else UNKNOWN
        if not self.may_have_run:
            self.reply.outcome = REFUSED

    def _end(self) -> None:
        self.ended = True
        self.reply.outcome = COMPLETE

    def note_lost(self, connected: bool) -> None:
        """Notes that a try ended without an answer."""
        self.may_have_run = self.may_have_run or connected
        self.reply.outcome = UNKNOWN if self.may_have_run else REFUSED
        self.reply.error = {
            "kind": "connection_lost",
            "run": UNKNOWN if self.may_have_run else NOT_RUN,
            "retry_after_s": PAUSE_BEFORE_RETRY_S,
        }

    def pause_before_retry(self) -> float | None:
        """Returns the pause before another try, or None if there is none."""
        error = self.reply.error
        if self.ended or error is None or "retry_after_s" not in error:
            return None
        if self.may_have_run and not self._may_send_again():
            return None
        return float(error["retry_after_s"])

    def _may_send_again(self) -> bool:
        """Whether a second send is harmless although the first may have run."""
        if self.fields.get("key"):
            return True
        # Only generate routes take max_tokens, and they are repeatable by default.
        return self.fields.get("repeatable", "max_tokens" in self.fields)
