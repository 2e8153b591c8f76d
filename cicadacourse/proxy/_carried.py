"""One exchange with an endpoint that this instance carries for another."""

from __future__ import annotations

import asyncio
from typing import Callable

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.eligibility import Eligibility
from cicadacourse.exchange import (
    EndpointConnection,
    EndpointConnector,
    EndpointRequest,
    SendFailure,
)
from cicadacourse.logs import PROXIED_ENDED, log
from cicadacourse.metrics import declare
from cicadacourse.proxy._idle_timer import IdleTimer
from cicadacourse.proxy._messages import OpenProxied, ProxiedPiece, SendProxied
from cicadacourse.proxy._pieces import Pieces
from cicadacourse.resources import HeldKind, MemoryAccount
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("proxy")

CARRIED = declare(
    "proxied_exchanges_carried_total",
    "Exchanges with endpoints carried for other instances, by outcome.",
)

# An exchange is cancelled once its sender has made no call for this long after the end
# of the last one. Together with the wait for a piece, the endpoint works for less than
# half a second on a request whose sender has died.
IDLE_S = 0.25
# How long a connection is held on which nothing has been sent yet: a long request takes
# its time to arrive.
UNSENT_IDLE_S = 1.0

# How often the body of a request is kept: the frame, and what is decoded and sent.
COPIES = 2

COMPLETE = "complete"
CLOSED = "closed"
ABANDONED = "abandoned"
STOPPED = "stopped"


def has_room(app: Application, opening: OpenProxied) -> bool:
    """Returns whether there is room for the request of another exchange."""
    account: MemoryAccount = app.get("resources").account
    return account.has_room(HeldKind.CARRIED, _held_bytes(opening))


def _held_bytes(opening: OpenProxied) -> int:
    """Returns what an exchange holds for its request, in bytes."""
    return COPIES * opening.body_bytes


@attrs.frozen
class _Order:
    """A request to be sent, and when it came, loop time in seconds."""

    message: SendProxied
    received_at: float

    def make_request(self, endpoint: Endpoint) -> EndpointRequest:
        """Returns the request with the time that is left now."""
        request = self.message.request
        time_left_s = request.time_left_s - (now() - self.received_at)
        return attrs.evolve(request, endpoint=endpoint, time_left_s=time_left_s)


class CarriedExchange:
    """Holds a direct connection in a task, sends a request on it once, and reads.

    :param opening: the message that asked for the connection.
    :param endpoint: the endpoint as this instance's registry lists it.
    :param on_end: called once it holds no connection any more.
    :param on_idle: called if the sender makes no more calls.
    :ivar opening: as passed in.
    :ivar is_sent: whether its request has come.
    """

    def __init__(
        self,
        app: Application,
        opening: OpenProxied,
        endpoint: Endpoint,
        on_end: Callable[[], None],
        on_idle: Callable[[], None],
    ) -> None:
        self.endpoint = endpoint
        self.is_sent = False
        self.idle_timer = IdleTimer(on_idle, UNSENT_IDLE_S)
        self._app = app
        self.opening = opening
        self._started = now()
        self._pieces = Pieces()
        self._outcome = STOPPED
        loop = asyncio.get_running_loop()
        self._opened: asyncio.Future[EndpointConnection] = loop.create_future()
        self._opened.add_done_callback(lambda opened: opened.exception())
        self._order: asyncio.Future[_Order] = loop.create_future()
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(lambda _: self._report_end())
        self._on_end = on_end
        account: MemoryAccount = app.get("resources").account
        self._holding = account.open(HeldKind.CARRIED)
        self._holding.resize(_held_bytes(opening))

    @property
    def id(self) -> str:
        """The id that the sender chose."""
        return self.opening.exchange

    @property
    def is_in_progress(self) -> bool:
        """Whether it holds a connection, or is making one."""
        return not self._task.done()

    async def wait_until_open(self) -> EndpointConnection:
        """Returns the connection once it is there.

        :raises SendFailure: if the endpoint can't be connected to.
        """
        return await asyncio.shield(self._opened)

    async def send(self, message: SendProxied) -> ProxiedPiece:
        """Sends the request unless that was done, and returns the first piece."""
        if not self.is_sent:
            self.is_sent = True
            self.idle_timer.idle_s = IDLE_S
            self._order.set_result(_Order(message, now()))
        return await self.read(0)

    async def read(self, number: int) -> ProxiedPiece:
        """Returns a piece of the response; see :meth:`Pieces.read`."""
        return await self._pieces.read(number)

    async def close(self, outcome: str) -> None:
        """Cancels the exchange if it is in progress, and waits until it has ended."""
        self.idle_timer.stop()
        if self.is_in_progress:
            self._outcome = outcome
            self._task.cancel()
        if not self._opened.done():
            self._opened.set_exception(SendFailure(outcome, False, outcome))
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            await self._make_exchange()
            self._outcome = COMPLETE
        except SendFailure as failure:
            self._outcome = failure.reason
            self._fail(failure)
        except Exception as error:
            logger.exception("exchange {} failed", self.id)
            detail = f"an instance could not carry the exchange: {error!r}"
            self._outcome = "internal"
            self._fail(SendFailure(detail, self.is_sent, "internal"))

    async def _make_exchange(self) -> None:
        connector: EndpointConnector = self._app.get("endpoint_connector")
        async with connector.connect(
            self.endpoint,
            self.opening.is_idempotent,
            self.opening.needs_new_connection,
        ) as connection:
            self._opened.set_result(connection)
            order = await self._order
            eligibility: Eligibility = self._app.get("eligibility")
            eligibility.check(self.endpoint)
            sent_at = now()
            response = await connection.send(
                order.make_request(self.endpoint), order.message.head_timeout_s
            )
            del order
            head = response.head
            self._app.get("limits").observe(self.endpoint, head, sent_at)
            eligibility.declines.observe(self.endpoint, head)
            await self._pieces.copy(response)

    def _fail(self, failure: SendFailure) -> None:
        if self._opened.done():
            self._pieces.fail(failure)
        else:
            self._opened.set_exception(failure)

    def _report_end(self) -> None:
        # The callbacks of this object refer to it, so it lives on for a while.
        self._order = asyncio.get_running_loop().create_future()
        self._holding.close()
        self._on_end()
        self._app.metrics.count(CARRIED, outcome=self._outcome)
        log(
            PROXIED_ENDED,
            request=self.opening.request,
            endpoint=self.endpoint.id,
            sender=self.opening.sender,
            outcome=self._outcome,
            pieces=self._pieces.count,
            sent_bytes=self._pieces.sent_bytes,
            took_s=round(now() - self._started, 4),
        )
