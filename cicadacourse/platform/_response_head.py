"""Decodes the status and the headers of endpoints' responses."""

from __future__ import annotations

import math
from typing import Sequence

import h11

from cicadacourse.exchange import Header, ResponseHead
from cicadacourse.platform import _names as names

_MISDIRECTED = 421


def read_head(response: h11.Response) -> ResponseHead:
    """Returns the status of a response and what its headers say."""
    headers = decode_headers(response)
    by_name = {header.name.lower(): header.value for header in headers}
    limit = by_name.get(names.HEADER_REQUEST_LIMIT.lower())
    request_limit = None if limit is None else _parse_limit(limit)
    is_misdirected = response.status_code == _MISDIRECTED
    return ResponseHead(
        status=response.status_code,
        headers=tuple(
            header
            for header in headers
            if header.name.lower() not in names.HEADERS_NOT_FORWARDED_TO_CALLERS
        ),
        never_ran=names.HEADER_NOT_EXECUTED.lower() in by_name or is_misdirected,
        fault_address=by_name.get(names.HEADER_FAULTY_ENDPOINT.lower()),
        request_limit=request_limit,
        is_limit_malformed=limit is not None and request_limit is None,
        is_misdirected=is_misdirected,
    )


def _parse_limit(text: str) -> float | None:
    """Returns a limit in requests per second, or None if it is malformed.

    >>> _parse_limit("1.5"), _parse_limit("-1"), _parse_limit("nan")
    (1.5, None, None)
    """
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def decode_headers(response: h11.Response) -> Sequence[Header]:
    """Returns the headers of a response in their order."""
    return [
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    ]
