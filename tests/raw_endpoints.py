"""Helpers for endpoints that answer with bytes of a test's choice."""

from __future__ import annotations

import re

from cicadacourse.platform import _names as names

_REQUEST_ID = re.compile(rb"(?i)\r\nx-cicadacourse-request-id: (\S+)")


def read_id(head: bytes) -> bytes:
    """Returns the id of a request, empty if it has none."""
    found = _REQUEST_ID.search(head)
    return found[1] if found else b""


def identify(answer: bytes, request_head: bytes, is_sealed: bool = True) -> bytes:
    """Adds to an answer what each answer of an endpoint bears: the id, and a seal.

    :param is_sealed: whether to add the seal.
    """
    request_id = read_id(request_head)
    status_line, _, rest = answer.partition(b"\r\n")
    lines = [status_line, f"{names.HEADER_REQUEST_ID}: ".encode() + request_id]
    if is_sealed:
        lines.append(f"{names.HEADER_SIGNATURE}: raw.".encode() + request_id)
    return b"\r\n".join([*lines, rest])
