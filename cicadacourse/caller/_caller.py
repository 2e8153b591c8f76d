"""Looks up instances and sends requests to them."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import Any, Sequence

from tornado.httpclient import HTTPRequest

from cicadacourse.caller._exchange import PAUSE_BEFORE_RETRY_S, BrokenError, Exchange
from cicadacourse.caller._reply import Reply
from cicadacourse.endpoints import AbortableCurlClient, BodyStream
from cicadacourse.util.clock import now

LOOK_UP_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 256
MAX_TRIES = 8
GRACE_S = 1.0
BUFFER_BYTES = 262_144


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
        exchange = Exchange(fields, reply, started)
        while reply.tries < MAX_TRIES and now() < deadline:
            reply.tries += 1
            pause_s = await self._try_once(exchange, deadline)
            if pause_s is None:
                break
            await asyncio.sleep(min(pause_s, max(deadline - now(), 0)))
        reply.seconds = now() - started
        return reply

    async def _try_once(self, exchange: Exchange, deadline: float) -> float | None:
        """Returns the pause before another try, or None if there is none."""
        address = await self._address()
        if address is None:
            exchange.note_lost(connected=False)
            return PAUSE_BEFORE_RETRY_S
        body = exchange.body(deadline - now())
        try:
            await self._post(address, body, deadline - now() + GRACE_S, exchange)
        except BrokenError as broken:
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
            except (BrokenError, ValueError, KeyError, TypeError):
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
            raise BrokenError(stream.connected)
        return content

    async def _post(
        self, address: str, body: bytes, timeout_s: float, exchange: Exchange
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
                    raise BrokenError(stream.connected)
                exchange.take_lines(lines)
