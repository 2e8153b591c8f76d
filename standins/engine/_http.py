"""The engine's HTTP interface."""

from __future__ import annotations

import json
from typing import Any, AsyncIterator

import attrs
import cattrs
import tornado.web
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import StreamClosedError

from standins._http import CoreHandler, make_app
from standins._refusal import Refusal
from standins.engine._core import EngineCore
from standins.engine._messages import (
    Export,
    GenerateRequest,
    Import,
    Line,
    Order,
    Prefill,
    Reservation,
    SessionList,
)

PEER_TIMEOUT_S = 5.0


class _LinesHandler(CoreHandler):
    """Streams the lines of an answer."""

    async def send(self, lines: AsyncIterator[Line]) -> None:
        """Writes each line as it is made; a reader that left ends only the sending."""
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            async for line in lines:
                self.write(json.dumps(line.to_json()) + "\n")
                await self.flush()
        except StreamClosedError:
            return


class SessionsHandler(_LinesHandler):
    """``/sessions``: start a session, or list them."""

    async def post(self) -> None:
        """Starts a session and streams its answer."""
        request = cattrs.structure(self.body, GenerateRequest)
        await self.send(self.core.generate(request))

    async def get(self) -> None:
        """Lists the sessions that hold memory."""
        self.answer(cattrs.unstructure(await self.core.sessions()))


class SessionHandler(CoreHandler):
    """``/sessions/<session>``: release it."""

    async def delete(self, name: str) -> None:
        """Releases the session."""
        await self.core.release(name)
        self.answer({})


class StreamHandler(_LinesHandler):
    """``/sessions/<session>/stream``: resume an answer."""

    async def get(self, name: str) -> None:
        """Streams the answer from a position on."""
        position = int(self.get_query_argument("position", "0"))
        await self.send(self.core.stream(name, position))


class ReservationsHandler(CoreHandler):
    """``/reservations``: reserve memory."""

    async def post(self) -> None:
        """Reserves memory, all or nothing."""
        request = cattrs.structure(self.body, Reservation)
        self.answer(attrs.asdict(await self.core.reserve(request)))


class PrefillHandler(CoreHandler):
    """``/sessions/<session>/prefill``: fill a reserved session."""

    async def post(self, name: str) -> None:
        """Answers when the slice is processed."""
        request = cattrs.structure({**self.body, "session": name}, Prefill)
        self.answer(attrs.asdict(await self.core.prefill(request)))


class ExportHandler(CoreHandler):
    """``/sessions/<session>/export``: offer KV cache to other engines."""

    async def post(self, name: str) -> None:
        """Makes an export."""
        self.answer(attrs.asdict(await self.core.export(name)))


class FetchHandler(CoreHandler):
    """``/exports/<handle>``: what another engine fetches."""

    async def get(self, handle: str) -> None:
        """Returns the export."""
        self.answer(attrs.asdict(await self.core.fetch_export(handle)))


class ImportsHandler(CoreHandler):
    """``/imports``: fetch KV cache from another engine."""

    async def post(self) -> None:
        """Answers when the cache is here."""
        request = cattrs.structure(self.body, Import)
        self.answer(attrs.asdict(await self.core.import_kv(request)))


class LoadHandler(CoreHandler):
    """``/load``: the lagging load."""

    async def get(self) -> None:
        """Returns the load."""
        self.answer(attrs.asdict(await self.core.load()))


class CacheEventsHandler(CoreHandler):
    """``/cache_events``: what the prefix cache stored and evicted."""

    async def get(self) -> None:
        """Returns the events behind a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        events = await self.core.cache_events(after)
        self.answer({"events": [attrs.asdict(event) for event in events]})


class StateHandler(CoreHandler):
    """``/state``: what the engine serves."""

    async def get(self) -> None:
        """Returns the state."""
        self.answer(attrs.asdict(await self.core.state()))


class OrdersHandler(CoreHandler):
    """``/orders``: change what the engine serves."""

    async def post(self) -> None:
        """Takes an order and returns the state."""
        order = cattrs.structure(self.body, Order)
        self.answer(attrs.asdict(await self.core.order(order)))


class HttpEnginePeer:
    """Another engine, as far as one engine calls it."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def sessions(self) -> SessionList:
        """Returns its session list."""
        return cattrs.structure(await self._get("/sessions"), SessionList)

    async def fetch_export(self, handle: str) -> Export:
        """Returns one of its exports."""
        return cattrs.structure(await self._get(f"/exports/{handle}"), Export)

    async def _get(self, path: str) -> Any:
        url = f"http://{self._address}{path}"
        try:
            answer = await AsyncHTTPClient().fetch(url, request_timeout=PEER_TIMEOUT_S)
        except Exception as error:
            raise Refusal(502, detail=str(error)) from error
        return json.loads(answer.body)


class HttpEnginePeers(dict):
    """Makes the peer of any address on demand."""

    def get(self, address: str, default: Any = None) -> HttpEnginePeer:
        """Returns the peer at an address."""
        return HttpEnginePeer(address)


ROUTES: list[tuple[str, type]] = [
    ("/sessions", SessionsHandler),
    ("/sessions/([^/]+)", SessionHandler),
    ("/sessions/([^/]+)/stream", StreamHandler),
    ("/sessions/([^/]+)/prefill", PrefillHandler),
    ("/sessions/([^/]+)/export", ExportHandler),
    ("/exports/(.+)", FetchHandler),
    ("/imports", ImportsHandler),
    ("/reservations", ReservationsHandler),
    ("/load", LoadHandler),
    ("/cache_events", CacheEventsHandler),
    ("/state", StateHandler),
    ("/orders", OrdersHandler),
]


def engine_app(core: EngineCore) -> tornado.web.Application:
    """Returns the application that serves an engine."""
    return make_app(core, ROUTES)
