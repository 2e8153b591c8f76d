"""What calls between instances share, whichever way their frames go."""

from __future__ import annotations

import abc
from typing import Any

from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import Error
from cicadacourse.peers._base import Peers
from cicadacourse.peers._dispatch import (
    BYTES_SENT,
    CALLS_FAILED,
    CALLS_SENT,
    Dispatcher,
    Frame,
    PeersSettings,
    to_frame,
)


class FramedPeers(Peers):
    """Encodes and counts calls; subclasses exchange the frames.

    :ivar address: this instance's own peer address.
    """

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.address = app.settings.get(InstanceSettings).peer_address
        self._settings = app.settings.get(PeersSettings)
        self._dispatcher = Dispatcher(app)

    async def answer(self, frame: Frame, timeout_s: float) -> Frame:
        """Answers one frame within the time that the calling instance waits."""
        reply = await self._dispatcher.answer(frame, timeout_s)
        self.app.metrics.count(BYTES_SENT, len(reply.body), message=reply.name)
        return reply

    async def call(
        self, address: str, request: Any, timeout_s: float
    ) -> Result[Any, Error]:
        """Encodes a call and exchanges its frame; see :meth:`Peers.call`."""
        if address == self.address:
            return await self._dispatcher.call(request, timeout_s)
        match to_frame(request, self._settings.max_message_bytes):
            case Failure() as failure:
                return failure
            case Success(frame):
                pass
        self.app.metrics.count(CALLS_SENT, message=frame.name)
        self.app.metrics.count(BYTES_SENT, len(frame.body), message=frame.name)
        result = await self._exchange(address, frame, timeout_s)
        if isinstance(result, Failure):
            error = result.failure().label
            self.app.metrics.count(CALLS_FAILED, message=frame.name, error=error)
        return result

    @abc.abstractmethod
    async def _exchange(
        self, address: str, frame: Frame, timeout_s: float
    ) -> Result[Any, Error]:
        """Sends a frame and returns its decoded reply, or why there is none."""
