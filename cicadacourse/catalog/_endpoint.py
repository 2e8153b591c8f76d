"""One endpoint as the registry lists it."""

from __future__ import annotations

import enum

import attrs


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class Endpoint:
    """One start of one engine or plain service.

    :param id: the name under which it registered; it survives no move of address.
    :param pool: the pool that it belongs to.
    :param address: ``IP:port``; another endpoint may get it once this one is gone.
    :param failure_domain: where it runs.
    :param slots: how many requests it works on at once.
    :param state: whether it takes new work.
    :param started_ms: its start in Unix milliseconds, or None if it doesn't say; a new
        start under the same id knows nothing of what the former one held.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    state: EndpointState = EndpointState.READY
    started_ms: int | None = None

    def is_same_process(self, other: Endpoint) -> bool:
        """Returns whether both records tell of one start of one endpoint."""
        return (self.id, self.address, self.pool, self.started_ms) == (
            other.id,
            other.address,
            other.pool,
            other.started_ms,
        )
