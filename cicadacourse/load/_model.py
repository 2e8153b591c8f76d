"""The share that one request takes of one endpoint."""

from __future__ import annotations

import enum

import attrs

# A decode engine that prefills for at least this long works on a long prompt, or on one
# that is split over several engines. The end of a split prefill is reported at once.
MIN_LONG_PREFILL_S = 0.05
# A remote assignment whose prefill should have ended this long ago counts as prefilled:
# the end of a short prefill is reported late, and reports can be lost.
SHORT_PREFILL_SLACK_S = 0.2
LONG_PREFILL_SLACK_S = 1.0


class Role(enum.Enum):
    """What an endpoint does for a request.

    It decodes the response, prefills a part of the prompt for the decode engine, or
    handles a call, which is a request without a prompt, usually to a plain service.
    """

    DECODE = "write"
    PREFILL = "read"
    CALL = "call"


@attrs.define
class Assignment:
    """One request's share of one endpoint.

    :param endpoint: id of the endpoint.
    :param role: what the endpoint does for the request.
    :param started: loop time of the placement in seconds.
    :param context_tokens: KV-cache tokens that it may come to hold.
    :param prefill_s: seconds of prefill that it adds to the engine.
    :param gap_s: the longest inter-token gap that its stream allows, in seconds; 0 if
        there is no such limit.
    :param is_prefilled: whether that prefill is done.
    :param is_remote: whether another instance reported it; the end of its prefill may
        then be reported late or not at all.
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
        """Whether it prefills a long prompt or a part of one."""
        is_long = self.role is Role.DECODE and self.prefill_s >= MIN_LONG_PREFILL_S
        return self.role is Role.PREFILL or is_long

    def has_pending_prefill(self, now_s: float) -> bool:
        """Returns whether its prefill is not yet done, as far as is known.

        :param now_s: loop time in seconds.
        """
        if self.is_prefilled or not self.is_remote:
            return not self.is_prefilled
        slack_s = (
            LONG_PREFILL_SLACK_S if self.is_long_prefill else SHORT_PREFILL_SLACK_S
        )
        return now_s < self.started + self.prefill_s + slack_s
