"""The response to a caller, as the gateway writes it."""

from __future__ import annotations

import abc
import asyncio

from cicadacourse.errors import Error
from cicadacourse.exchange._model import ResponseHead


class Reply(abc.ABC):
    """The response to one request; each is ended exactly once.

    :ivar caller_disconnected: set once the caller has closed its connection.
    :ivar started: whether the head of the response was written.
    """

    def __init__(self) -> None:
        self.caller_disconnected = asyncio.Event()
        self.started = False

    @abc.abstractmethod
    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Sends a complete response of an endpoint."""

    @abc.abstractmethod
    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Sends the head of an endpoint's stream and its first events."""

    @abc.abstractmethod
    async def send_events(self, data: bytes) -> None:
        """Sends complete events; waits while the caller reads too slowly."""

    @abc.abstractmethod
    async def finish_stream(self) -> None:
        """Ends a stream as complete."""

    @abc.abstractmethod
    async def refuse(self, error: Error) -> None:
        """Responds with an error of this system."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection so that the response can't appear complete."""
