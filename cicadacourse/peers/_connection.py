"""One connection to one peer, kept up by one task."""

from __future__ import annotations

import asyncio
from typing import Any

import capnp

from cicadacourse.peers._codec import load_schema
from cicadacourse.peers._dispatch import Frame, PeersSettings
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now

_FIRST_BACKOFF_S = 0.05
_SILENT_AFTER_S = 3.0


class Connection:
    """Connects, connects again with back-off, and ends when it is idle.

    :param address: the peer's address.
    :param settings: time limits.
    """

    def __init__(self, address: str, settings: PeersSettings) -> None:
        self.address = address
        self.retired = False
        self._settings = settings
        self._ready: asyncio.Future[Any] = _silent_future()
        self._in_progress = 0
        self._last_used = now()
        self._silent_since: float | None = None

    def is_silent(self) -> bool:
        """Returns whether calls have gone unanswered for a while."""
        if self._silent_since is None:
            return False
        return now() - self._silent_since > _SILENT_AFTER_S

    async def call(self, frame: Frame, timeout_s: float) -> Frame:
        """Sends a frame and returns the reply.

        :raises OSError: if the peer could not be connected to lately.
        :raises capnp.KjException: if the connection broke.
        """
        self._last_used = now()
        if self._silent_since is None:
            self._silent_since = now()
        self._in_progress += 1
        try:
            peer = await asyncio.shield(self._ready)
            request = peer.call_request()
            envelope = request.request
            envelope.name = frame.name
            envelope.body = frame.body
            envelope.timeoutS = timeout_s
            reply = (await request.send()).reply
            self._silent_since = now() if self._in_progress > 1 else None
            return Frame(reply.name, reply.body)
        finally:
            self._in_progress -= 1
            self._last_used = now()

    async def keep(self) -> None:
        """Keeps the connection up until it is idle or retired."""
        backoff_s = _FIRST_BACKOFF_S
        while not self._is_over():
            try:
                stream = await self._connect()
                await self._use(stream)
                backoff_s = _FIRST_BACKOFF_S
            except (OSError, TimeoutError, capnp.KjException) as error:
                self._fail(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, self._settings.reconnect_max_s)
                self._ready = _silent_future()

    async def _connect(self) -> Any:
        host, port = split_address(self.address)
        async with asyncio.timeout(self._settings.connect_timeout_s):
            return await capnp.AsyncIoStream.create_connection(host, port)

    async def _use(self, stream: Any) -> None:
        """Offers the connection to calls until it breaks or is over."""
        limit_words = self._settings.max_message_bytes // 4
        client = capnp.TwoPartyClient(stream, traversal_limit_in_words=limit_words)
        lost = asyncio.ensure_future(_until_lost(client))
        try:
            peer = client.bootstrap().cast_as(load_schema("common").Peer)
            self._ready.set_result(peer)
            while not lost.done() and not self._is_over():
                await asyncio.wait({lost}, timeout=self._settings.idle_s / 4)
        finally:
            self._ready = _silent_future()
            lost.cancel()
            stream.close()

    def _is_over(self) -> bool:
        if self._in_progress:
            return False
        return self.retired or now() - self._last_used > self._settings.idle_s

    def _fail(self, error: Exception) -> None:
        """Fails the calls that wait for the connection, and those made in back-off."""
        detail = str(error) or "connecting timed out"
        self._ready.set_exception(ConnectionError(detail))


async def _until_lost(client: Any) -> None:
    try:
        await client.on_disconnect()
    except capnp.KjException:
        return


def _silent_future() -> asyncio.Future[Any]:
    """Returns a future whose error need not be fetched."""
    future = asyncio.get_running_loop().create_future()
    future.add_done_callback(lambda done: done.cancelled() or done.exception())
    return future
