"""Encodes the registry for other instances, compressed, and decodes theirs."""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.catalog import Endpoint, EndpointState, ListedEndpoint
from cicadacourse.config import parse_address
from cicadacourse.feed._delta import apply_delta, make_delta
from cicadacourse.load import EndpointRecord, Registry
from cicadacourse.logs import ENDPOINT_ENTRY_REFUSED, log
from cicadacourse.peers import decode, encode
from cicadacourse.util.clock import MS_PER_S

# The name that the message ``Registry`` is registered under.
_MESSAGE_NAME = "load.Registry"
MAX_COLD_MS = 2**32 - 1


@attrs.define
class RegistryEncoder:
    """Compresses a registry once for all instances that ask for the same one."""

    _endpoints: tuple[Endpoint, ...] | None = None
    _offset: int = 0
    _reply: Registry | None = None

    def encode(self, listed: Sequence[ListedEndpoint], offset: int) -> Registry:
        """Returns the reply that holds these endpoints compressed.

        What it says of cold endpoints is as of the first of equal replies. So they
        count as cold for somewhat too long at instances that ask later.
        """
        endpoints = tuple(item.endpoint for item in listed)
        if self._reply is None or (endpoints, offset) != (
            self._endpoints,
            self._offset,
        ):
            self._endpoints, self._offset = endpoints, offset
            body = encode(make_registry(listed, offset))
            self._reply = Registry(offset=offset, packed=make_delta(b"", body))
        return self._reply


def make_registry(listed: Sequence[ListedEndpoint], offset: int) -> Registry:
    """Returns the reply that lists endpoints one by one."""
    records = tuple(_to_record(item) for item in listed)
    return Registry(offset=offset, endpoints=records)


def read_endpoints(reply: Registry) -> list[ListedEndpoint]:
    """Returns the endpoints of a reply, compressed or not.

    Records that are malformed are logged and left out: an instance of an earlier
    release may have taken an entry of another writer.

    :raises ValueError: if the reply itself is malformed.
    """
    if reply.packed:
        reply = decode(_MESSAGE_NAME, apply_delta(b"", reply.packed))
    found = []
    for record in reply.endpoints:
        try:
            endpoint = _to_endpoint(record)
        except ValueError as error:
            log(ENDPOINT_ENTRY_REFUSED, entry=record.id, reason=str(error))
        else:
            found.append(ListedEndpoint(endpoint, record.cold_ms / MS_PER_S))
    return found


def _to_record(listed: ListedEndpoint) -> EndpointRecord:
    endpoint = listed.endpoint
    return EndpointRecord(
        id=endpoint.id,
        pool=endpoint.pool,
        address=endpoint.address,
        failure_domain=endpoint.failure_domain,
        slots=endpoint.slots,
        state=endpoint.state.value,
        started_ms=endpoint.started_ms or 0,
        cold_ms=min(MAX_COLD_MS, round(listed.cold_left_s * MS_PER_S)),
    )


def _to_endpoint(record: EndpointRecord) -> Endpoint:
    if not record.id or not record.slots:
        raise ValueError(f"endpoint {record.id!r:.40} with {record.slots} slots")
    return Endpoint(
        id=record.id,
        pool=record.pool,
        address=parse_address(record.address),
        failure_domain=record.failure_domain,
        slots=record.slots,
        state=EndpointState(record.state),
        started_ms=record.started_ms or None,
    )
