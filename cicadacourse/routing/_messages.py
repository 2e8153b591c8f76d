"""Messages between the holders of grants and the dispatchers."""

from __future__ import annotations

import attrs

from cicadacourse.peers import message
from cicadacourse.routing._model import Work


@message("dispatch.Probe")
class Probe:
    """Asks when each of some endpoints would give the first token.

    :param endpoints: names of endpoints that the receiver dispatches for.
    """

    work: Work
    endpoints: tuple[str, ...]


@attrs.frozen
class Estimate:
    """What an endpoint would give a work, in seconds.

    :param first_token_s: until the first token.
    :param interference_s: by which the prefill of others would delay the rest.
    """

    endpoint: str
    first_token_s: float
    interference_s: float

    @property
    def delay_s(self) -> float:
        """What estimates are compared by."""
        return self.first_token_s + self.interference_s


@message("dispatch.Estimates")
class Estimates:
    """Answers a probe; endpoints that can't serve are left out."""

    estimates: tuple[Estimate, ...]


@message("dispatch.GrantRequest")
class GrantRequest:
    """Asks for a grant, or asks again for the one that was asked for before.

    :param time_left_s: seconds until the answer must be whole.
    """

    work: Work
    endpoint: str
    time_left_s: float


@message("dispatch.GrantReply")
class GrantReply:
    """A grant, or word that the request still waits.

    :param session: the session's name; empty while the request waits.
    :param start_within_s: seconds within which the session must be started.
    """

    session: str = ""
    priority: int = 0
    start_within_s: float = 0.0


@message("dispatch.Withdrawal")
class Withdrawal:
    """Takes a request for a grant back, whether it waits or was granted."""

    request_id: str
    attempt: int
    endpoint: str


@attrs.frozen
class ReturnedGrant:
    """One grant that is used no more."""

    endpoint: str
    session: str


@message("dispatch.Returns")
class Returns:
    """Gives grants back to the dispatcher that made them."""

    grants: tuple[ReturnedGrant, ...]


@message("dispatch.Done")
class Done:
    """Says that a message was acted on."""
