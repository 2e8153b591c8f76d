"""Decodes the entries that endpoints write to the registry."""

from __future__ import annotations

from typing import Any

from returns.result import Failure, Result, Success

from cicadacourse.catalog import Endpoint, EndpointState, ListedEndpoint
from cicadacourse.config import parse_address
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.platform import _fields as fields

# The most requests at once that an entry may state; larger numbers are no true ones.
MAX_SLOTS = 65_535

STATE_BY_NAME = {
    "ready": EndpointState.READY,
    "draining": EndpointState.LEAVING,
}


def decode_endpoint(endpoint_id: str, value: bytes) -> Result[ListedEndpoint, Error]:
    """Decodes one entry of the registry.

    :returns: a Failure of kind ``BAD_REQUEST`` if the entry is malformed or lacks a
        field, such as one of another writer or one that is cut short.
    """
    try:
        row = fields.parse_object(value)
        endpoint = Endpoint(
            id=_id(endpoint_id),
            pool=fields.string(row, "service"),
            address=parse_address(fields.string(row, "address")),
            failure_domain=fields.string(row, "zone"),
            slots=_slots(row),
            state=STATE_BY_NAME[fields.string(row, "state")],
            started_ms=_started_ms(row),
        )
        # Endpoints always write these; an entry without one is another writer's.
        fields.string(row, "version")
        fields.integer(row, "seqNo")
        return Success(ListedEndpoint(endpoint, fields.seconds(row, "coldLeftMs")))
    except (ValueError, KeyError) as error:
        detail = f"registry entry {endpoint_id!r:.40}: {error!r:.120}"
        return Failure(Error(ErrorKind.BAD_REQUEST, detail))


def _id(text: str) -> str:
    """Returns an id that can be named in a header of a request."""
    if not text or not text.isascii() or not text.isprintable() or " " in text:
        raise fields.FieldError("the id is not of visible ASCII characters")
    return text


def _started_ms(row: dict[str, Any]) -> int:
    """Returns when the process started, in Unix milliseconds by its own clock."""
    started_ms = int(fields.integer(row, "born"))
    if not started_ms:
        raise fields.FieldError(f"born is {started_ms}, expected a time")
    return started_ms


def _slots(row: dict[str, Any]) -> int:
    slots = fields.count(row, "slots")
    if slots > MAX_SLOTS:
        raise fields.FieldError(f"slots is {slots}, expected 1 to {MAX_SLOTS}")
    return slots
