"""What an attempt asks of the part that decides on the attempts at its request."""

from __future__ import annotations

import abc

from cicadacourse.errors import Error
from cicadacourse.exchange import ResponseHead
from cicadacourse.gateway._attempt import Attempt


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
    def acquire(self, attempt: Attempt) -> Error | None:
        """Returns None if an attempt may be made now, else why not."""

    @abc.abstractmethod
    def is_hedge(self, attempt: Attempt) -> bool:
        """Returns whether an attempt is made beside an older one in progress."""

    @abc.abstractmethod
    def used_ids(self, attempt: Attempt) -> frozenset[str]:
        """Returns the ids of the endpoints of the other attempts in progress."""

    @abc.abstractmethod
    def confirm(self, attempt: Attempt) -> Error | None:
        """Returns None if an attempt may be sent as it is placed, else why not."""

    @abc.abstractmethod
    def has_alternative(self, attempt: Attempt) -> bool:
        """Returns whether another attempt runs, or is allowed, beside this one."""

    @abc.abstractmethod
    def has_begun(self) -> bool:
        """Returns whether a failed attempt may have run or events were written."""

    @abc.abstractmethod
    def may_risk_refusal(self) -> bool:
        """Returns whether another endpoint would be tried after a refusal."""

    @abc.abstractmethod
    def may_write_response(self) -> bool:
        """Returns whether nothing has been written to the caller yet."""

    @abc.abstractmethod
    def check_continues(self, head: ResponseHead, first_event_id: str | None) -> None:
        """Checks that a response may go on with the stream that has been written.

        :param first_event_id: the id of its first event, None if that has none.
        :raises StreamMismatch: if it may not; nothing of it must be written.
        """

    @abc.abstractmethod
    async def write_events(
        self, attempt: Attempt, head: ResponseHead, events: bytes
    ) -> None:
        """Writes whole events; the attempt's are the only ones from then on."""

    @abc.abstractmethod
    async def finish_stream(self, attempt: Attempt, head: ResponseHead) -> None:
        """Ends a stream as complete."""

    @abc.abstractmethod
    async def write_response(
        self, attempt: Attempt, head: ResponseHead, body: bytes
    ) -> None:
        """Writes a whole response."""
