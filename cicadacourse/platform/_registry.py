"""Decodes the entries that endpoints write to the registry."""

from __future__ import annotations

import json

from returns.result import Failure, Result, Success

from cicadacourse.catalog import Endpoint, EndpointState, ListedEndpoint
from cicadacourse.config import parse_address
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.platform import _fields as fields

STATE_BY_NAME = {
    "ready": EndpointState.READY,
    "draining": EndpointState.LEAVING,
}


def decode_endpoint(endpoint_id: str, value: bytes) -> Result[ListedEndpoint, Error]:
    """Decodes one entry of the registry.

    :returns: a Failure of kind ``BAD_REQUEST`` if the entry is malformed, such as one
        of another writer or one that is cut short.
    """
    try:
        row = json.loads(value)
        if not isinstance(row, dict):
            raise ValueError("expected a JSON object")
        # When the endpoint's process started, in milliseconds by its own clock.
        started_ms = fields.integer(row, "born", None)
        endpoint = Endpoint(
            id=endpoint_id,
            pool=fields.string(row, "service"),
            address=parse_address(fields.string(row, "address")),
            failure_domain=fields.string(row, "zone"),
            slots=int(fields.integer(row, "slots")),
            state=STATE_BY_NAME[fields.string(row, "state")],
            started_ms=None if started_ms is None else int(started_ms),
        )
        return Success(ListedEndpoint(endpoint, fields.seconds(row, "coldLeftMs", 0.0)))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        detail = f"registry entry {endpoint_id!r:.40}: {error!r:.120}"
        return Failure(Error(ErrorKind.BAD_REQUEST, detail))
