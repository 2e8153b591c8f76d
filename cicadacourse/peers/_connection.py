"""One connection to one peer, kept open by one task."""

from __future__ import annotations

import asyncio
from typing import Any

import capnp

from cicadacourse.peers._codec import load_schema
from cicadacourse.peers._dispatch import Frame, PeersSettings
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now

_FIRST_BACKOFF_S = 0.05


class Connection:
    """Connects to a peer, reconnects with backoff, and closes when idle.

    :param address: the peer's address.
    :param settings: timeouts, backoff and message size limits.
    :param replaced_at: when it replaced a silent connection, loop time in seconds; None
        if it did not.
    :ivar retired: whether new calls must use another connection.
    :ivar answered_at: when a call was answered last, loop time in seconds.
    """

    def __init__(
        self, address: str, settings: PeersSettings, replaced_at: float | None = None
    ) -> None:
        self.address = address
        self.retired = False
        self.replaced_at = replaced_at
        self.answered_at = float("-inf")
        self._settings = settings
        self._ready: asyncio.Future[Any] = _make_future()
        self._in_progress = 0
        self._last_used = now()

    def is_silent_since(self, called_at: float) -> bool:
        """Returns whether it is connected but answered no call since a time.

        :param called_at: loop time in seconds.
        """
        return self._ready.done() and self.answered_at < called_at

    async def call(self, frame: Frame, timeout_s: float) -> Frame:
        """Sends a frame and returns the reply.

        :param timeout_s: time limit of the peer's handler, sent with the frame.
        :raises OSError: if the latest attempt to connect failed.
        :raises capnp.KjException: if the connection broke.
        """
        self._last_used = now()
        self._in_progress += 1
        try:
            peer = await asyncio.shield(self._ready)
            request = peer.call_request()
            envelope = request.request
            envelope.name = frame.name
            envelope.body = frame.body
            envelope.timeoutS = timeout_s
            reply = (await request.send()).reply
            self.answered_at = now()
            return Frame(reply.name, reply.body)
        finally:
            self._in_progress -= 1
            self._last_used = now()

    async def maintain(self) -> None:
        """Keeps the connection open until it is idle or retired."""
        backoff_s = _FIRST_BACKOFF_S
        while not self._may_close():
            try:
                stream = await self._connect()
                await self._use_stream(stream)
                backoff_s = _FIRST_BACKOFF_S
            except (OSError, TimeoutError, capnp.KjException) as error:
                self._fail(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, self._settings.reconnect_max_s)
                self._ready = _make_future()

    async def _connect(self) -> Any:
        host, port = split_address(self.address)
        async with asyncio.timeout(self._settings.connect_timeout_s):
            return await capnp.AsyncIoStream.create_connection(host, port)

    async def _use_stream(self, stream: Any) -> None:
        """Lets calls use the connection until it breaks or may close."""
        limit_words = self._settings.max_message_bytes // 4
        client = capnp.TwoPartyClient(stream, traversal_limit_in_words=limit_words)
        disconnected = asyncio.ensure_future(_wait_until_disconnected(client))
        try:
            peer = client.bootstrap().cast_as(load_schema("common").Peer)
            self._ready.set_result(peer)
            while not disconnected.done() and not self._may_close():
                await asyncio.wait({disconnected}, timeout=self._settings.idle_s / 4)
        finally:
            self._ready = _make_future()
            disconnected.cancel()
            stream.close()

    def _may_close(self) -> bool:
        if self._in_progress:
            return False
        return self.retired or now() - self._last_used > self._settings.idle_s

    def _fail(self, error: Exception) -> None:
        """Fails calls that wait for the connection, and those made during backoff."""
        detail = str(error) or "connecting timed out"
        self._ready.set_exception(ConnectionError(detail))


async def _wait_until_disconnected(client: Any) -> None:
    try:
        await client.on_disconnect()
    except capnp.KjException:
        return


def _make_future() -> asyncio.Future[Any]:
    """Returns a future whose exception may stay unretrieved without a warning."""
    future = asyncio.get_running_loop().create_future()
    future.add_done_callback(lambda done: done.cancelled() or done.exception())
    return future
