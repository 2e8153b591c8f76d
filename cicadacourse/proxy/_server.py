"""Carries exchanges with endpoints for instances that have no link to them."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import AsyncIterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.exchange import EndpointConnection, EndpointConnector, SendFailure
from cicadacourse.logs import PROXIED_OPENED, PROXIED_REFUSED, log
from cicadacourse.membership import MemberState
from cicadacourse.metrics import declare
from cicadacourse.peers import handles
from cicadacourse.proxy._carried import (
    ABANDONED,
    CLOSED,
    STOPPED,
    CarriedExchange,
    has_room,
)
from cicadacourse.proxy._messages import (
    REASON_BUSY,
    REASON_CLOSED,
    REASON_LEAVING,
    REASON_LINK_LOST,
    REASON_NOT_SENT,
    REASON_UNKNOWN_EXCHANGE,
    CloseProxied,
    OpenProxied,
    ProxiedClosed,
    ProxiedOpened,
    ProxiedPiece,
    ReadProxied,
    SendProxied,
)
from cicadacourse.reachability import Reachability
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

CARRIED_IN_PROGRESS = declare(
    "proxied_exchanges_in_progress",
    "Exchanges with endpoints that are carried for other instances now.",
)
OPENINGS_REFUSED = declare(
    "proxied_exchanges_refused_total",
    "Exchanges with endpoints not carried for other instances, by reason.",
)

# Bounds the processor time and the memory for other instances' exchanges.
MAX_CARRIED = 256
# How long after a failed connection no further one is tried for another instance.
FAILED_RECENTLY_S = 0.5
# A late or repeated message of an exchange that has ended opens and sends nothing.
MAX_ENDED_IDS = 4096
# A connection that isn't there after this long has failed at its first try.
LATE_CONNECTION_S = 0.1


@SERVICES.register("proxy")
class ProxyServer(Service):
    """Opens direct connections for other instances and sends their requests on them."""

    name = "proxy"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._connector: EndpointConnector = app.get("endpoint_connector")
        self._exchange_by_id: dict[str, CarriedExchange] = {}
        # Whether a request came, by the id of an exchange that has ended.
        self._is_sent_by_ended_id: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )
        self._closing = Tasks(app.metrics, "proxy")

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancels the exchanges that are left when the instance stops."""
        try:
            yield
        finally:
            for exchange in list(self._exchange_by_id.values()):
                self._end(exchange, STOPPED)
            await self._closing.wait()

    @property
    def in_progress(self) -> int:
        """How many exchanges hold a connection to an endpoint."""
        return sum(item.is_in_progress for item in self._exchange_by_id.values())

    @handles(OpenProxied)
    async def on_open(self, message: OpenProxied) -> ProxiedOpened:
        """Gets a direct connection to an endpoint, on which nothing is sent yet."""
        exchange = self._exchange_by_id.get(message.exchange)
        try:
            if exchange is None:
                exchange = self._start(message)
            with exchange.idle_timer.in_call():
                connection = await self._wait_until_open(exchange)
        except SendFailure as failure:
            raise self._refuse(message, failure.reason, failure.detail) from failure
        return ProxiedOpened(is_kept=connection.is_kept)

    @handles(SendProxied)
    async def on_send(self, message: SendProxied) -> ProxiedPiece:
        """Sends the request of an exchange unless that was done; returns the head."""
        exchange = self._find(message.exchange)
        with exchange.idle_timer.in_call():
            return await exchange.send(message)

    @handles(ReadProxied)
    async def on_read(self, message: ReadProxied) -> ProxiedPiece:
        """Returns the next piece of a response, its end, or that it has not come."""
        exchange = self._find(message.exchange)
        with exchange.idle_timer.in_call():
            if message.is_keep_alive:
                return ProxiedPiece(number=message.number, is_pending=True)
            return await exchange.read(message.number)

    @handles(CloseProxied)
    async def on_close(self, message: CloseProxied) -> ProxiedClosed:
        """Cancels an exchange."""
        exchange = self._exchange_by_id.get(message.exchange)
        if exchange is None:
            self._remember_ended(message.exchange, False)
            return ProxiedClosed()
        self._end(exchange, CLOSED)
        if message.closes_kept:
            self._connector.close_idle_connections(exchange.endpoint.id)
        return ProxiedClosed()

    def _start(self, message: OpenProxied) -> CarriedExchange:
        """Begins to connect to an endpoint.

        :raises SendFailure: if the endpoint does not accept the request.
        :raises CicadacourseError: if this instance does not carry the exchange.
        """
        reason = self._find_refusal(message)
        if reason is not None:
            raise self._refuse(message, reason)
        self.app.get("eligibility").check(message.endpoint)
        endpoint = self.app.get("catalog").registry.find(message.endpoint.id)
        exchange = CarriedExchange(
            self.app,
            message,
            endpoint,
            self._report_in_progress,
            lambda: self._end(exchange, ABANDONED),
        )
        self._exchange_by_id[exchange.id] = exchange
        self._report_in_progress()
        return exchange

    def _find_refusal(self, message: OpenProxied) -> str | None:
        """Returns why this instance can't carry an exchange, or None."""
        if message.exchange in self._is_sent_by_ended_id:
            return REASON_CLOSED
        if self.app.get("membership").self_member().state is MemberState.LEAVING:
            return REASON_LEAVING
        if self.in_progress >= MAX_CARRIED or not has_room(self.app, message):
            return REASON_BUSY
        if self._is_link_lost(message.endpoint, message.is_idempotent):
            return REASON_LINK_LOST
        return None

    def _is_link_lost(self, endpoint: Endpoint, is_idempotent: bool) -> bool:
        if self._connector.has_kept_connection(endpoint, is_idempotent):
            return False
        failed_s = now() - self._reachability.failed_at(endpoint)
        return self._reachability.is_lost(endpoint) or failed_s < FAILED_RECENTLY_S

    async def _wait_until_open(self, exchange: CarriedExchange) -> EndpointConnection:
        """Waits for a connection, and records whether there is a link.

        :raises SendFailure: if the endpoint can't be connected to.
        """
        started = now()
        try:
            connection = await exchange.wait_until_open()
        except SendFailure:
            self._reachability.record_not_connected(exchange.endpoint)
            self._end(exchange, REASON_CLOSED)
            raise
        except asyncio.CancelledError:
            # The sender has given up, and asks another instance.
            if now() - started > LATE_CONNECTION_S:
                self._reachability.record_not_connected(exchange.endpoint)
            self._end(exchange, ABANDONED)
            raise
        if not connection.is_kept:
            self._reachability.record_connected(exchange.endpoint)
        log(
            PROXIED_OPENED,
            request=exchange.opening.request,
            endpoint=exchange.endpoint.id,
            sender=exchange.opening.sender,
            is_kept=connection.is_kept,
            in_progress=self.in_progress,
        )
        return connection

    def _find(self, exchange_id: str) -> CarriedExchange:
        """Returns an exchange that is open.

        :raises CicadacourseError: if there is none; its reason says whether it is
            certain that the request was not sent.
        """
        exchange = self._exchange_by_id.get(exchange_id)
        if exchange is not None:
            return exchange
        if self._is_sent_by_ended_id.get(exchange_id, True):
            raise _error(REASON_UNKNOWN_EXCHANGE, "no such exchange is open here")
        raise _error(REASON_NOT_SENT, "the exchange was closed before its request came")

    def _end(self, exchange: CarriedExchange, outcome: str) -> None:
        """Forgets an exchange, and cancels it if it is in progress."""
        if self._exchange_by_id.pop(exchange.id, None) is None:
            return
        self._remember_ended(exchange.id, exchange.is_sent)
        self._closing.start(exchange.close(outcome), "close")

    def _remember_ended(self, exchange_id: str, is_sent: bool) -> None:
        self._is_sent_by_ended_id[exchange_id] = is_sent
        if len(self._is_sent_by_ended_id) > MAX_ENDED_IDS:
            self._is_sent_by_ended_id.popitem(last=False)

    def _refuse(
        self, message: OpenProxied, reason: str, detail: str = ""
    ) -> CicadacourseError:
        """Logs and returns the refusal of an exchange."""
        self.app.metrics.count(OPENINGS_REFUSED, reason=reason)
        log(
            PROXIED_REFUSED,
            request=message.request,
            endpoint=message.endpoint.id,
            sender=message.sender,
            reason=reason,
        )
        return _error(reason, detail)

    def _report_in_progress(self) -> None:
        self.app.metrics.set(CARRIED_IN_PROGRESS, self.in_progress)

    @property
    def _reachability(self) -> Reachability:
        return self.app.get("reachability")


def _error(reason: str, detail: str) -> CicadacourseError:
    return CicadacourseError(Error(ErrorKind.ENDPOINT_UNREACHABLE, detail, reason))
