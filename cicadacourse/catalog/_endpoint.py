"""One endpoint as the registry lists it."""

from __future__ import annotations

import enum
import re

import attrs


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


# A start fits into a field of 64 bits.
_START = re.compile("[0-9]{1,18}")
# Stands for the start of a process that does not report it.
UNKNOWN_START = 0


@attrs.frozen
class ProcessKey:
    """What identifies a process of an endpoint at all instances.

    :param endpoint_id: the id of the endpoint.
    :param started_ms: its start in Unix milliseconds, or ``UNKNOWN_START``.
    """

    endpoint_id: str
    started_ms: int

    def __str__(self) -> str:
        """Returns the text by which instances name the process to each other.

        >>> str(ProcessKey("e1", 1000))
        'e1@1000'
        """
        return f"{self.endpoint_id}@{self.started_ms}"

    @classmethod
    def parse(cls, text: str) -> ProcessKey:
        """Returns the key that a text names.

        >>> ProcessKey.parse("e@1@1000")
        ProcessKey(endpoint_id='e@1', started_ms=1000)

        :raises ValueError: if it names none.
        """
        endpoint_id, _, started_ms = text.rpartition("@")
        if not endpoint_id or _START.fullmatch(started_ms) is None:
            raise ValueError(f"{text!r:.80} names no process")
        return cls(endpoint_id, int(started_ms))


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
    def process(self) -> ProcessKey:
        """What identifies its process: its id and its start."""
        return ProcessKey(self.id, self.started_ms or UNKNOWN_START)

    @property
    def process_key(self) -> str:
        """The text by which instances name its process to each other."""
        return str(self.process)

    def is_same_process(self, other: Endpoint) -> bool:
        """Returns whether both records are known to describe the same process.

        Neither pool nor address identify it: an entry may be from another writer. Where
        the start is not known, the address is all that tells processes apart.
        """
        if self.started_ms is None and self.address != other.address:
            return False
        return (self.id, self.started_ms) == (other.id, other.started_ms)

    def may_be(self, process: ProcessKey) -> bool:
        """Returns whether a record may describe a process, by the starts known."""
        starts = {self.process.started_ms, process.started_ms}
        are_alike = len(starts) == 1 or UNKNOWN_START in starts
        return self.id == process.endpoint_id and are_alike


@attrs.frozen
class ListedEndpoint:
    """An endpoint with what its registry entry says of the moment.

    :param cold_left_s: for how many seconds it is still cold, 0 if it is not.
    :param position: the position in the store's log up to which no newer entry of the
        endpoint exists, 0 if that is not known.
    """

    endpoint: Endpoint
    cold_left_s: float = 0.0
    position: int = 0


@attrs.frozen
class RegistryCopy:
    """What an instance knows of the registry.

    :param listed: the endpoints that have an entry.
    :param position: the position in the store's log of the newest change. The copy
        holds whatever the records before it say.
    :param held_ids: endpoints without an entry that the instance still uses, as their
        entries may have expired during an outage of the store.
    :param source: the name of the instance.
    """

    listed: tuple[ListedEndpoint, ...]
    position: int
    held_ids: frozenset[str] = frozenset()
    source: str = ""
