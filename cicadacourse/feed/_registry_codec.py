"""Encodes the registry for other instances, compressed, and decodes theirs."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import (
    Endpoint,
    EndpointState,
    ListedEndpoint,
    RegistryCopy,
)
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

    _key: tuple[object, ...] | None = None
    _reply: Registry = Registry(offset=0)

    def encode(self, copy: RegistryCopy) -> Registry:
        """Returns the reply that holds this copy compressed.

        What it says of cold endpoints is as of the first of equal replies. So they
        count as cold for somewhat too long at instances that ask later. So are the
        positions: an entry that is renewed unchanged needs no new reply.
        """
        endpoints = tuple(item.endpoint for item in copy.listed)
        key = endpoints, copy.position, copy.held_ids
        if key != self._key:
            body = encode(make_registry(copy))
            packed = make_delta(b"", body)
            self._key, self._reply = key, Registry(offset=copy.position, packed=packed)
        return self._reply


def make_registry(copy: RegistryCopy) -> Registry:
    """Returns the reply that lists the endpoints of a copy one by one."""
    return Registry(
        offset=copy.position,
        endpoints=tuple(_to_record(item) for item in copy.listed),
        held_ids=tuple(sorted(copy.held_ids)),
    )


def read_registry(reply: Registry, source: str) -> RegistryCopy:
    """Returns the copy that a reply holds, compressed or not.

    Records that are malformed are logged and left out: an instance of an earlier
    release may have taken an entry of another writer.

    :raises ValueError: if the reply itself is malformed.
    """
    position = reply.offset
    if reply.packed:
        reply = decode(_MESSAGE_NAME, apply_delta(b"", reply.packed))
    found = []
    for record in reply.endpoints:
        try:
            endpoint = _to_endpoint(record)
        except ValueError as error:
            log(ENDPOINT_ENTRY_REFUSED, entry=record.id, reason=str(error))
        else:
            cold_left_s = record.cold_ms / MS_PER_S
            found.append(ListedEndpoint(endpoint, cold_left_s, record.position))
    return RegistryCopy(tuple(found), position, frozenset(reply.held_ids), source)


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
        position=listed.position,
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
