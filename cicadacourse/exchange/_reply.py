"""Where the answer to a caller is written."""

from __future__ import annotations

import abc
import asyncio

from cicadacourse.errors import Error
from cicadacourse.exchange._model import ResponseHead


class Reply(abc.ABC):
    """The answer to one request; each is ended exactly once.

    :ivar caller_disconnected: set once the caller has closed its connection.
    :ivar started: whether the head of the answer was written.
    """

    def __init__(self) -> None:
        self.caller_disconnected = asyncio.Event()
        self.started = False

    @abc.abstractmethod
    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Sends an endpoint's whole answer."""

    @abc.abstractmethod
    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Sends the head of an endpoint's stream with its first events."""

    @abc.abstractmethod
    async def send_events(self, data: bytes) -> None:
        """Sends whole events of a stream; waits while the caller reads slowly."""

    @abc.abstractmethod
    async def finish_stream(self) -> None:
        """Ends a stream as complete."""

    @abc.abstractmethod
    async def refuse(self, error: Error) -> None:
        """Answers with one of the system's own errors."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection so that the answer can't look complete."""
