"""One endpoint as the registry lists it."""

from __future__ import annotations

import enum

import attrs


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class Endpoint:
    """One process of an engine or a plain service.

    :param id: the name under which it registered; at another address it has another.
    :param pool: the pool that it belongs to.
    :param address: ``IP:port``; another endpoint may reuse it after this one has ended.
    :param failure_domain: the failure domain that it runs in.
    :param slots: how many requests it processes concurrently.
    :param state: whether it accepts new requests.
    :param started_ms: its start in Unix milliseconds, or None if it does not report
        it. A process restarted under the same id has lost the requests and KV-cache
        reservations of its predecessor.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    state: EndpointState = EndpointState.READY
    started_ms: int | None = None

    @property
    def process_key(self) -> str:
        """What identifies its process at all instances: its id and its start."""
        return f"{self.id}@{self.started_ms or 0}"

    def is_same_process(self, other: Endpoint) -> bool:
        """Returns whether both records describe the same process."""
        return (self.id, self.address, self.pool, self.started_ms) == (
            other.id,
            other.address,
            other.pool,
            other.started_ms,
        )
