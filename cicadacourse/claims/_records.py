"""The records of a partition of claims, and their JSON form."""

from __future__ import annotations

import base64
import json
from typing import Any

import attrs
from returns.result import Failure, Result, Success

FORMAT_VERSION = 1


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """A claim of a key; the first in log order holds it.

    :param key: the key.
    :param claim_id: unique to one attempt; records of one id are the same claim.
    :param request_id: the request that asks.
    """

    key: str
    claim_id: str
    request_id: str


@attrs.frozen(kw_only=True)
class OutcomeRecord:
    """How the call of a claim was answered.

    :param status: the HTTP status.
    :param body: the answer's body, or empty if it was too long.
    """

    key: str
    claim_id: str
    status: int
    body: bytes


def encode(record: ClaimRecord | OutcomeRecord) -> bytes:
    """Returns the JSON form of a record."""
    fields: dict[str, Any] = {"v": FORMAT_VERSION, **attrs.asdict(record)}
    if isinstance(record, OutcomeRecord):
        fields["body"] = base64.b64encode(record.body).decode()
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(body: bytes) -> Result[ClaimRecord | OutcomeRecord, str]:
    """Reads a record, or tells the reason why it must be passed over."""
    try:
        fields = json.loads(body)
        if fields["v"] > FORMAT_VERSION:
            return Failure("newer_version")
        key, claim_id = str(fields["key"]), str(fields["claim_id"])
        if "status" not in fields:
            request_id = str(fields["request_id"])
            return Success(
                ClaimRecord(key=key, claim_id=claim_id, request_id=request_id)
            )
        answer = base64.b64decode(fields["body"], validate=True)
        status = int(fields["status"])
        return Success(
            OutcomeRecord(key=key, claim_id=claim_id, status=status, body=answer)
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return Failure("malformed")
