"""Messages by which an instance asks the keeper of a partition of claims."""

from __future__ import annotations

from cicadacourse.claims._model import ClaimKind, ClaimOutcome
from cicadacourse.peers import message

PENDING = "pending"


@message("claims.ClaimRequest")
class ClaimRequest:
    """Claims a key; repeated with the same claim id it is the same claim.

    :param time_limit_s: when the keeper gives the claim up.
    :param wait_s: when the keeper answers that the claim is pending.
    """

    key: str
    claim_id: str
    request_id: str
    time_limit_s: float = 0.0
    wait_s: float = 0.0


@message("claims.ClaimReply")
class ClaimReply:
    """What became of a claim, or that it is pending: ask again.

    Status 0 stands for no recorded outcome.
    """

    kind: str
    request_id: str = ""
    status: int = 0
    body: bytes = b""


@message("claims.OutcomeRequest")
class OutcomeRequest:
    """Records how the call of a claim was answered."""

    key: str
    claim_id: str
    status: int
    body: bytes
    time_limit_s: float = 0.0


@message("claims.OutcomeReply")
class OutcomeReply:
    """The outcome is in the log."""


def make_reply(outcome: ClaimOutcome) -> ClaimReply:
    """Returns an outcome as a message."""
    return ClaimReply(
        kind=outcome.kind.value,
        request_id=outcome.request_id,
        status=outcome.status or 0,
        body=outcome.body,
    )


def read_reply(reply: ClaimReply) -> ClaimOutcome:
    """Returns the outcome that a message tells."""
    return ClaimOutcome(
        ClaimKind(reply.kind), reply.request_id, reply.status or None, reply.body
    )
