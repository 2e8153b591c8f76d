"""Links between instances and simulated endpoints, which can be cut one by one."""

from __future__ import annotations

import asyncio
import enum
from typing import Any, Callable, Coroutine, Iterable, TypeVar

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.platform._endpoint_connector import (
    CONNECT_TIMEOUTS_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
)
from cicadacourse.platform._endpoint_exchange import DEFAULT_KEEP_ALIVE_S
from cicadacourse.util.clock import now

ENDPOINT_LINK_S = 0.004

T = TypeVar("T")


class LinkFault(enum.Enum):
    """What becomes of the connections over a link that is cut.

    * ``HANG``: nothing passes, and new connections are not made; what was sent arrives
      once the link works again.
    * ``RESET``: connections are reset, and new ones are refused.
    * ``REFUSE_NEW``: only new connections are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"


@attrs.define(eq=False)
class Exchange:
    """A request at an endpoint; all times are loop times in seconds.

    :param instance: the instance whose connection it arrived on.
    :ivar closed_at: when the instance left it, None while it has not.
    :ivar is_refused: whether the endpoint has said that it didn't run it.
    """

    request_id: str
    instance: str
    began_at: float = attrs.field(factory=now)
    closed_at: float | None = None
    is_refused: bool = False


@attrs.define(eq=False)
class Channel:
    """A connection of an instance to an endpoint's process, for several exchanges.

    :param made_at: when it was made, loop time in seconds.
    :ivar broken: set once the instance sees that the connection has ended.
    :ivar exchange: the last exchange on it.
    """

    endpoint: Any
    link: EndpointLink
    made_at: float = attrs.field(factory=now)
    broken: asyncio.Event = attrs.field(factory=asyncio.Event)
    exchange: Exchange | None = None
    _is_at_work: bool = False
    _idle_since: float | None = None

    def begin(self, request_id: str, instance: str) -> None:
        """Starts an exchange at the endpoint."""
        self.exchange = Exchange(request_id, instance)
        self.endpoint.exchanges.append(self.exchange)
        self._is_at_work = True
        self.endpoint.in_progress += 1

    def complete(self) -> None:
        """Ends an exchange whose response was read to its end."""
        self._close_exchange()
        self._end()
        self._idle_since = now()

    def take(self) -> None:
        """Uses the connection for another exchange."""
        self._idle_since = None

    def is_reusable(self, is_idempotent: bool) -> bool:
        """Returns whether it may carry a request now, as far as the instance knows."""
        if self._idle_since is None or self.broken.is_set():
            return False
        if self.endpoint.is_down and not self.link.is_hanging:
            return False
        idle_s = now() - self._idle_since
        limit_s = DEFAULT_KEEP_ALIVE_S if is_idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        return idle_s < limit_s

    def was_used_since(self, at: float) -> bool:
        """Returns whether it has carried an exchange that ended after a loop time."""
        return self._idle_since is not None and self._idle_since > at

    def break_off(self) -> None:
        """Resets the connection; the endpoint sees it once the link passes data."""
        self.broken.set()
        self._close_exchange()
        self.link.call_when_passing(self._end)

    def close(self) -> None:
        """Closes the connection; the endpoint sees it once the link passes data."""
        self.link.channels.discard(self)
        self.break_off()

    def _close_exchange(self) -> None:
        if self.exchange is not None and self.exchange.closed_at is None:
            self.exchange.closed_at = now()

    def _end(self) -> None:
        if self._is_at_work:
            self._is_at_work = False
            self.endpoint.in_progress -= 1

    async def until_broken(self, work: Coroutine[Any, Any, T]) -> T:
        """Returns the result of some work.

        :raises ConnectionResetError: if the connection ends first.
        """
        task = asyncio.create_task(work)
        broken = asyncio.create_task(self.broken.wait())
        try:
            await asyncio.wait({task, broken}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise ConnectionResetError("connection reset")
            return task.result()
        finally:
            broken.cancel()
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)


@attrs.define(eq=False)
class EndpointLink:
    """The link between one instance and one endpoint's address.

    :ivar channels: the connections over it that the instance has not closed.
    """

    channels: set[Channel] = attrs.field(factory=set)
    _faults: list[LinkFault] = attrs.field(factory=list)
    _passing: asyncio.Event = attrs.field(factory=asyncio.Event)
    _waiting: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_cut(self) -> bool:
        """Whether a fault is in force."""
        return bool(self._faults)

    @property
    def is_hanging(self) -> bool:
        """Whether nothing passes."""
        return LinkFault.HANG in self._faults

    @property
    def is_refusing(self) -> bool:
        """Whether new connections are refused."""
        return self.is_cut and not self.is_hanging

    def cut(self, fault: LinkFault) -> None:
        """Adds a fault, beside those that are in force."""
        if fault is LinkFault.RESET:
            self.reset_all()
        self._faults.append(fault)
        if fault is LinkFault.HANG:
            self._passing.clear()

    def heal(self, fault: LinkFault, is_reset: bool) -> None:
        """Ends a fault.

        :param is_reset: whether the connections that the fault has met are then reset.
        """
        self._faults.remove(fault)
        if is_reset:
            self.reset_all()
        if self.is_hanging:
            return
        self._passing.set()
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call()

    def call_when_passing(self, call: Callable[[], None]) -> None:
        """Makes a call now, or once the link passes data again."""
        if self.is_hanging:
            self._waiting.append(call)
        else:
            call()

    async def passes(self) -> None:
        """Waits while nothing passes."""
        while self.is_hanging:
            await self._passing.wait()

    async def connect(self) -> None:
        """Waits until a new connection is made.

        :raises OSError: if it is refused or not made within the product's time limits.
        """
        for timeout_s in CONNECT_TIMEOUTS_S:
            if self.is_hanging:
                await asyncio.sleep(timeout_s)
                continue
            await asyncio.sleep(ENDPOINT_LINK_S)
            if self.is_refusing:
                raise ConnectionRefusedError("connection refused")
            if not self.is_hanging:
                return
        raise TimeoutError("not connected in time")

    def reset_all(self) -> None:
        """Resets all connections over the link."""
        for channel in list(self.channels):
            channel.break_off()


@attrs.define
class EndpointLinks:
    """All links of a cluster, by instance and by the endpoint's pool and address.

    A process that is started at the address of another one has the same links.
    """

    _link_by_ends: dict[tuple[str, str, str], EndpointLink] = attrs.field(factory=dict)

    def get(self, instance: str, endpoint: Endpoint) -> EndpointLink:
        """Returns the link from an instance to an endpoint."""
        ends = (instance, endpoint.pool, endpoint.address)
        return self._link_by_ends.setdefault(ends, EndpointLink())

    def reset(self, instance: str) -> None:
        """Resets all connections of an instance, as at the end of its process."""
        for (name, _, _), link in self._link_by_ends.items():
            if name == instance:
                link.reset_all()

    def cut(
        self,
        instances: Iterable[str],
        endpoints: Iterable[Endpoint],
        fault: LinkFault,
        is_reset_after: bool = False,
    ) -> Callable[[], None]:
        """Cuts every link between some instances and some endpoints.

        :param is_reset_after: whether connections that hung are reset afterwards.
        :returns: a function that ends the cut.
        """
        endpoints = list(endpoints)
        links = [self.get(name, item) for name in instances for item in endpoints]
        for link in links:
            link.cut(fault)

        def heal() -> None:
            for link in links:
                link.heal(fault, is_reset_after)

        return heal
