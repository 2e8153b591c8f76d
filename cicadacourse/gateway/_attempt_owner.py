"""What an attempt asks of the part that decides on the attempts at its request."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from cicadacourse.errors import Error
from cicadacourse.exchange import ResponseHead

if TYPE_CHECKING:
    from cicadacourse.gateway._exchange_attempt import ExchangeAttempt


class AttemptOwner(abc.ABC):
    """Decides which attempts are made at a request, and writes what they read.

    :ivar last_event_id: the id of the last event that was written, or None.
    """

    last_event_id: str | None

    @property
    @abc.abstractmethod
    def last_event_at(self) -> float | None:
        """When the last event was written, loop time in seconds, or None."""

    @abc.abstractmethod
    def acquire(self, attempt: ExchangeAttempt) -> Error | None:
        """Returns None if an attempt may be made now, else why not."""

    @abc.abstractmethod
    def is_hedge(self, attempt: ExchangeAttempt) -> bool:
        """Returns whether an attempt is made beside an older one in progress."""

    @abc.abstractmethod
    def used_ids(self, attempt: ExchangeAttempt) -> frozenset[str]:
        """Returns the ids of the endpoints of the other attempts in progress."""

    @abc.abstractmethod
    def confirm(self, attempt: ExchangeAttempt) -> Error | None:
        """Returns None if an attempt may be sent as it is placed, else why not."""

    @abc.abstractmethod
    def has_alternative(self, attempt: ExchangeAttempt) -> bool:
        """Returns whether another attempt runs, or is allowed, beside this one."""

    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Returns whether a failed attempt may have run or events were written."""

    @abc.abstractmethod
    def may_write_response(self) -> bool:
        """Returns whether nothing has been written to the caller yet."""

    @abc.abstractmethod
    async def write_events(
        self, attempt: ExchangeAttempt, head: ResponseHead, events: bytes
    ) -> None:
        """Writes whole events; the attempt's are the only ones from then on."""

    @abc.abstractmethod
    async def finish_stream(self, attempt: ExchangeAttempt, head: ResponseHead) -> None:
        """Ends a stream as complete."""

    @abc.abstractmethod
    async def write_response(
        self, attempt: ExchangeAttempt, head: ResponseHead, body: bytes
    ) -> None:
        """Writes a whole response."""
