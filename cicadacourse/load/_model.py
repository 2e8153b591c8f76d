"""One request's share of one endpoint."""

from __future__ import annotations

import enum

import attrs

# Reading from here on is of a prompt that several engines read, or that takes long; the
# others are told at once when it is done.
MIN_PART_S = 0.05
# What should have been read this long ago is taken as read: the others are told late of
# short prompts, and reports get lost.
SHORT_SLACK_S = 0.2
PART_SLACK_S = 1.0


class Role(enum.Enum):
    """What an endpoint does for a request."""

    DECODE = "write"
    PREFILL = "read"
    CALL = "call"


@attrs.define
class Assignment:
    """One request's share of one endpoint.

    :param endpoint: the endpoint's id.
    :param role: writes the answer, reads a part of the prompt, or runs a call.
    :param started: when it was sent, loop time in seconds.
    :param context_tokens: engine memory that it may come to hold.
    :param prefill_s: seconds of reading that it brings to the engine.
    :param gap_s: the longest pause that its stream bears, 0 if it is none.
    :param is_prefilled: whether that reading is done.
    :param is_remote: whether another instance told of it, late and perhaps not again.
    """

    endpoint: str
    role: Role
    started: float
    context_tokens: int = 0
    prefill_s: float = 0.0
    gap_s: float = 0.0
    is_prefilled: bool = False
    is_remote: bool = False

    @property
    def is_long_prefill(self) -> bool:
        """Whether it reads a part of a long prompt."""
        is_long = self.role is Role.DECODE and self.prefill_s >= MIN_PART_S
        return self.role is Role.PREFILL or is_long

    def has_pending_prefill(self, now_s: float) -> bool:
        """Returns whether its reading is not yet done at a time, as far as is known."""
        if self.is_prefilled or not self.is_remote:
            return not self.is_prefilled
        slack_s = PART_SLACK_S if self.is_long_prefill else SHORT_SLACK_S
        return now_s < self.started + self.prefill_s + slack_s
