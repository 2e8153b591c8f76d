"""Calls between instances of one process, over a simulated network with faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any, AsyncIterator, Iterable

import attrs
from returns.result import Failure, Result

from cicadacourse.application import Application
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.peers._dispatch import Frame, from_frame
from cicadacourse.peers._framed import FramedPeers


@attrs.define
class Link:
    """Delay and faults of messages in one direction between two addresses.

    :param delay_s: one-way delay in seconds.
    :param jitter_s: upper bound of the random addition to the delay, in seconds.
    :param drop_probability: the probability that a message is lost.
    :param duplicate_probability: the probability that a request arrives twice.
    :param is_partitioned: whether every message is lost.
    """

    delay_s: float = 0.002
    jitter_s: float = 0.001
    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    is_partitioned: bool = False


class MemoryNetwork:
    """Connects the instances of one process by peer address.

    :param seed: of the random generator that all delays and faults are drawn from.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.default_link = Link()
        self._link_by_pair: dict[tuple[str, str], Link] = {}
        self._peers_by_address: dict[str, MemoryPeers] = {}
        self._thawed_by_address: dict[str, asyncio.Event] = {}

    def join(self, address: str, peers: MemoryPeers) -> None:
        """Makes an instance reachable."""
        self._peers_by_address[address] = peers

    def leave(self, address: str) -> None:
        """Makes an instance unreachable, as if its process had ended."""
        self._peers_by_address.pop(address, None)

    def link(self, source: str, target: str) -> Link:
        """Returns the link from one address to another, which may be changed."""
        pair = (source, target)
        if pair not in self._link_by_pair:
            self._link_by_pair[pair] = attrs.evolve(self.default_link)
        return self._link_by_pair[pair]

    def partition(
        self, addresses: Iterable[str], other_addresses: Iterable[str]
    ) -> None:
        """Loses every message between two sets of addresses, in both directions."""
        self._set_partitioned(addresses, other_addresses, True)

    def heal(self, addresses: Iterable[str], other_addresses: Iterable[str]) -> None:
        """Ends a :meth:`partition` of two sets of addresses."""
        self._set_partitioned(addresses, other_addresses, False)

    def _set_partitioned(
        self,
        addresses: Iterable[str],
        other_addresses: Iterable[str],
        is_partitioned: bool,
    ) -> None:
        other_addresses = list(other_addresses)
        for address in addresses:
            for other_address in other_addresses:
                self.link(address, other_address).is_partitioned = is_partitioned
                self.link(other_address, address).is_partitioned = is_partitioned

    def freeze(self, address: str) -> None:
        """Stops an instance from sending and receiving until it is thawed."""
        self._thawed_by_address.setdefault(address, asyncio.Event())

    def thaw(self, address: str) -> None:
        """Resumes a frozen instance; messages held for it are delivered now."""
        event = self._thawed_by_address.pop(address, None)
        if event is not None:
            event.set()

    async def wait_until_thawed(self, address: str) -> None:
        """Waits while the instance at an address is frozen."""
        while address in self._thawed_by_address:
            await self._thawed_by_address[address].wait()

    async def deliver(self, source: str, target: str) -> MemoryPeers:
        """Waits until a message has crossed a link; returns the receiver's service.

        It never returns if the message is lost.

        :raises ConnectionRefusedError: if no instance joined under the target address.
        """
        link = self._link_by_pair.get((source, target), self.default_link)
        await self.wait_until_thawed(source)
        if link.is_partitioned or self.random.random() < link.drop_probability:
            await asyncio.Event().wait()
        await asyncio.sleep(link.delay_s + self.random.random() * link.jitter_s)
        await self.wait_until_thawed(target)
        if target not in self._peers_by_address:
            raise ConnectionRefusedError(target)
        return self._peers_by_address[target]

    def is_duplicated(self, source: str, target: str) -> bool:
        """Returns whether a request over a link arrives twice, drawn at random."""
        link = self._link_by_pair.get((source, target), self.default_link)
        return (
            link.duplicate_probability > 0
            and self.random.random() < link.duplicate_probability
        )


class MemoryPeers(FramedPeers):
    """Calls instances of the same process; messages are encoded and decoded."""

    def __init__(self, app: Application, network: MemoryNetwork) -> None:
        super().__init__(app)
        self._network = network
        self._exchange_tasks: set[asyncio.Task[Any]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Makes the instance reachable while it runs."""
        self._network.join(self.address, self)
        try:
            yield
        finally:
            self._network.leave(self.address)
            for task in self._exchange_tasks:
                task.cancel()
            await asyncio.gather(*self._exchange_tasks, return_exceptions=True)

    async def _exchange(
        self, address: str, frame: Frame, timeout_s: float
    ) -> Result[Any, Error]:
        result = await self._wait_for_reply(address, frame, timeout_s)
        await self._network.wait_until_thawed(self.address)
        return result

    async def _wait_for_reply(
        self, address: str, frame: Frame, timeout_s: float
    ) -> Result[Any, Error]:
        """Sends a frame and waits for its reply.

        The exchange may go on after the timeout, as it does on a real network.
        """
        task = asyncio.ensure_future(self._round_trip(address, frame, timeout_s))
        self._exchange_tasks.add(task)
        task.add_done_callback(self._discard_task)
        try:
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if not done:
            detail = f"{address}: no answer in {timeout_s:g} s"
            return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))
        if task.cancelled() or task.exception() is not None:
            detail = f"{address}: not connected"
            return Failure(Error(ErrorKind.PEER_UNREACHABLE, detail))
        return from_frame(task.result(), self._settings.max_message_bytes)

    def _discard_task(self, task: asyncio.Task[Any]) -> None:
        """Discards a task and retrieves the exception of one that failed too late."""
        self._exchange_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _round_trip(self, address: str, frame: Frame, timeout_s: float) -> Frame:
        async with asyncio.timeout(_LOST_AFTER_S + timeout_s):
            target = await self._network.deliver(self.address, address)
            if self._network.is_duplicated(self.address, address):
                await target._dispatcher.answer(frame, timeout_s)
            reply = await target.answer(frame, timeout_s)
            await self._network.deliver(address, self.address)
        return reply


# The task of an exchange whose message was lost ends this long after its timeout.
_LOST_AFTER_S = 600.0
