"""What the parts that decide on attempts and report them know of one attempt."""

from __future__ import annotations

from typing import Protocol

from cicadacourse.gateway._attempts import Progress
from cicadacourse.placement import Placement


class Attempt(Protocol):
    """One attempt at a request.

    :ivar pool: the name of the pool that serves the request.
    :ivar placement: where the request is sent; None until it is placed.
    :ivar progress: how far the attempt got.
    :ivar is_sent: whether the request was sent, or its reservations were refused.
    :ivar has_arrived: whether the endpoint may have received anything of it.
    :ivar has_failed: whether the endpoint gave no usable response.
    """

    pool: str
    placement: Placement | None
    progress: Progress
    is_sent: bool
    has_arrived: bool
    has_failed: bool

    @property
    def endpoint_id(self) -> str | None:
        """The id of its endpoint; None until it is placed."""

    @property
    def last_event_id(self) -> str | None:
        """The id of the last whole event that was read, or that it resumes after."""

    @property
    def silent_s(self) -> float:
        """For how many seconds it has waited for data of its endpoint."""

    def silence_limit_at(self, now_s: float) -> float:
        """Returns when it will have waited for data for too long, in loop time."""
