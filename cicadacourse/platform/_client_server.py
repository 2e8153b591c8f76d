"""HTTP servers for clients whose number and memory are bounded."""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from cicadacourse.logs import CONNECTIONS_REPLACED, log
from cicadacourse.metrics import Metrics, declare
from cicadacourse.platform._client_stream import READ_BYTES, ClientStream
from cicadacourse.resources import MemoryAccount
from cicadacourse.util.clock import now, time_to_tick

CONNECTIONS = declare("client_connections", "Open connections of clients, by listener.")
REPLACED = declare(
    "client_connections_replaced_total",
    "Connections closed as a listener had its limit of them, by listener and by whether"
    " they were `waiting` ones or `new`.",
)
UNREAD = declare(
    "unread_answers_total",
    "Connections closed whose client read nothing of its answer, by listener.",
)

SWEEP_PERIOD_S = 0.25


class ClientServer(HTTPServer):
    """An HTTP server whose connections are of the class :class:`ClientStream`.

    At its limit of connections it closes one that waits for its client and accepts the
    new one; see :meth:`ClientStream.replacement_rank`.
    """

    def initialize(  # type: ignore[override]  # tornado passes on what it is given
        self,
        *arguments: Any,
        listener: str,
        max_connections: int,
        answer_idle_s: float,
        account: MemoryAccount,
        metrics: Metrics,
        **keywords: Any,
    ) -> None:
        """Initialises the server; called by tornado in place of ``__init__``.

        :param listener: its name in logs and metrics.
        :param max_connections: the most connections that are open at once.
        :param answer_idle_s: how long a client may read nothing of its answer.
        """
        keywords.setdefault("chunk_size", READ_BYTES)
        super().initialize(*arguments, **keywords)
        self.listener = listener
        self.max_connections = max_connections
        self._answer_idle_s = answer_idle_s
        self._account = account
        self._metrics = metrics
        self._streams: set[ClientStream] = set()
        self._replaced = self._refused = 0

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._open_streams())

    def has_connections(self) -> bool:
        """Returns whether a connection is open."""
        return bool(self._open_streams())

    def is_writing(self) -> bool:
        """Returns whether bytes of a response wait for their client to read."""
        return any(item.writing() for item in self._open_streams())

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serves a new connection; called by tornado, which has not read from it."""
        if len(self._streams) >= self.max_connections and not self._make_place():
            self._refused += 1
            stream.close()
            return
        own = ClientStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
            account=self._account,
        )
        self._streams.add(own)
        super().handle_stream(own, address)

    async def sweep_periodically(self) -> None:
        """Closes connections with unread answers, until it is cancelled."""
        while True:
            await asyncio.sleep(time_to_tick(SWEEP_PERIOD_S))
            self._close_unread()
            self._report()

    def _open_streams(self) -> set[ClientStream]:
        self._streams = {item for item in self._streams if not item.closed()}
        return self._streams

    def _make_place(self) -> bool:
        """Closes a connection for a new one; returns whether there was one to close."""
        streams = self._open_streams()
        if len(streams) < self.max_connections:
            return True
        now_s = now()
        stream_by_rank = {item.replacement_rank(now_s): item for item in streams}
        ranks = [item for item in stream_by_rank if item is not None]
        if not ranks:
            return False
        stream = stream_by_rank[min(ranks)]
        stream.close()
        self._streams.discard(stream)
        self._replaced += 1
        return True

    def _close_unread(self) -> None:
        now_s = now()
        for stream in list(self._streams):
            if stream.is_write_stalled(now_s, self._answer_idle_s):
                self._metrics.count(UNREAD, listener=self.listener)
                stream.close()

    def _report(self) -> None:
        """Updates the metrics; one line tells of all that were closed meanwhile."""
        count = len(self._open_streams())
        self._metrics.set(CONNECTIONS, count, listener=self.listener)
        if not self._replaced and not self._refused:
            return
        log(
            CONNECTIONS_REPLACED,
            listener=self.listener,
            limit=self.max_connections,
            count=self._replaced,
            refused=self._refused,
        )
        for which, number in (("waiting", self._replaced), ("new", self._refused)):
            self._metrics.count(REPLACED, number, listener=self.listener, which=which)
        self._replaced = self._refused = 0
