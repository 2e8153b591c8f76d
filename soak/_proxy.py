"""A loopback proxy on one link, which can delay, reset or cut its connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import Any, AsyncIterator, Coroutine

import attrs

from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now

_READ_BYTES = 65_536
# How far a rate limit may catch up, so that late wake-ups on a busy machine don't lower
# the rate.
RATE_CATCH_UP_S = 0.1


class LinkState(enum.Enum):
    """How a link treats connections and the bytes on them, by direction."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO_TARGET = "cut to target"
    CUT_FROM_TARGET = "cut from target"
    CUT_BOTH_WAYS = "silent"


_BLOCKS_TO_TARGET = frozenset({LinkState.CUT_TO_TARGET, LinkState.CUT_BOTH_WAYS})
_BLOCKS_FROM_TARGET = frozenset({LinkState.CUT_FROM_TARGET, LinkState.CUT_BOTH_WAYS})


@attrs.define(eq=False)
class RateLimit:
    """Delays the bytes of all connections that share one direction of a link.

    :param bytes_per_s: the rate.
    """

    bytes_per_s: float
    _free_at: float = 0.0

    async def pass_bytes(self, count: int) -> None:
        """Returns when the link has carried so many bytes after those before them."""
        earliest = now() - RATE_CATCH_UP_S
        self._free_at = max(self._free_at, earliest) + count / self.bytes_per_s
        await asyncio.sleep(self._free_at - now())


@attrs.define(eq=False)
class _Forwarding:
    """A connection that is forwarded.

    :param source: the IP address that it was made from.
    :param writers: its two ends.
    :ivar is_silent: whether its bytes and its end are held back for good.
    """

    source: str
    writers: tuple[asyncio.StreamWriter, ...]
    is_silent: bool = False


@attrs.define(eq=False)
class Proxy:
    """Forwards connections from its own address to a target address.

    Bytes and ends of connections that a cut holds back are forwarded when it ends, as
    by a network that retransmits lost packets.

    :param address: the address it listens on, as ``IP:port``.
    :param target: the address it connects to, as ``IP:port``.
    :param to_target_limit: limits the bytes to the target; None for no limit.
    :param from_target_limit: limits the bytes from the target; None for no limit.
    :ivar delay_s: the delay of each chunk in the state ``DELAY``, in seconds.
    :ivar silenced_at: when its open connections fell silent, loop times in seconds.
    :ivar blocked_sources: the IP addresses whose connections are cut both ways.
    """

    address: str
    target: str
    to_target_limit: RateLimit | None = None
    from_target_limit: RateLimit | None = None
    delay_s: float = 0.1
    state: LinkState = LinkState.PASS
    silenced_at: list[float] = attrs.field(factory=list)
    blocked_sources: set[str] = attrs.field(factory=set)
    _state_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _forwardings: set[_Forwarding] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Accepts and forwards connections while the block runs."""
        host, port = split_address(self.address)
        server = await asyncio.start_server(self._accept, host, port)
        try:
            yield
        finally:
            server.close()
            self._reset_all()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, state: LinkState) -> None:
        """Sets the state of the link, also for open connections; RESET aborts these."""
        self.state = state
        self._notify()
        if state is LinkState.RESET:
            self._reset_all()

    def block(self, source: str, is_blocked: bool) -> None:
        """Cuts the connections from an IP address both ways, or ends the cut."""
        if is_blocked:
            self.blocked_sources.add(source)
        else:
            self.blocked_sources.discard(source)
        self._notify()

    def reset(self, source: str) -> None:
        """Aborts the connections from an IP address."""
        for forwarding in self._forwardings:
            if forwarding.source == source:
                for writer in forwarding.writers:
                    writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Holds back all bytes and ends of the open connections for good.

        Neither side gets a reset, and connections that are opened later work.
        """
        self.silenced_at.append(now())
        for forwarding in self._forwardings:
            forwarding.is_silent = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is LinkState.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = split_address(self.target)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        source = writer.get_extra_info("peername")[0]
        forwarding = _Forwarding(source, (writer, target_writer))
        self._forwardings.add(forwarding)
        to_target = self._copy_stream(
            forwarding, reader, target_writer, _BLOCKS_TO_TARGET, self.to_target_limit
        )
        from_target = self._copy_stream(
            forwarding,
            target_reader,
            writer,
            _BLOCKS_FROM_TARGET,
            self.from_target_limit,
        )
        copies = [self._start_copy(to_target), self._start_copy(from_target)]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self._forwardings.discard(forwarding)
            self._writers.discard(target_writer)
            target_writer.close()

    def _start_copy(self, copy: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(copy)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _copy_stream(
        self,
        forwarding: _Forwarding,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_states: frozenset[LinkState],
        limit: RateLimit | None,
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while data := await reader.read(_READ_BYTES):
                await self._wait_until_passing(forwarding, blocking_states)
                if self.state is LinkState.DELAY:
                    await asyncio.sleep(self.delay_s)
                if limit is not None:
                    await limit.pass_bytes(len(data))
                writer.write(data)
                await writer.drain()
            await self._wait_until_passing(forwarding, blocking_states)
        while forwarding.source in self.blocked_sources:
            await self._state_changed.wait()

    async def _wait_until_passing(
        self, forwarding: _Forwarding, blocking_states: frozenset[LinkState]
    ) -> None:
        while (
            forwarding.is_silent
            or forwarding.source in self.blocked_sources
            or self.state in blocking_states
        ):
            await self._state_changed.wait()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()
