"""Decodes the status and the headers of endpoints' responses."""

from __future__ import annotations

import math
import re
from typing import Sequence

import h11

from cicadacourse.exchange import MAX_BODY_BYTES, Header, ResponseHead
from cicadacourse.platform import _names as names

# Bounds the times that endpoints state: timers have no greater one.
MAX_RETRY_AFTER_S = 86_400.0
_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# Leaving is final, so no other value than the documented one begins it.
_IS_LEAVING = "1"
_MISDIRECTED = 421
_UNAVAILABLE = 503


def read_head(response: h11.Response) -> ResponseHead:
    """Returns the status of a response and what its headers say."""
    headers = decode_headers(response)
    by_name = {header.name.lower(): header.value for header in headers}
    limit = by_name.get(names.HEADER_REQUEST_LIMIT.lower())
    request_limit = None if limit is None else _parse_limit(limit)
    is_misdirected = response.status_code == _MISDIRECTED
    is_unavailable = response.status_code == _UNAVAILABLE
    delay = by_name.get(names.HEADER_RETRY_AFTER.lower()) if is_unavailable else None
    retry_after_s = None if delay is None else _parse_retry_after(delay)
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
        retry_after_s=retry_after_s,
        is_retry_after_malformed=delay is not None and retry_after_s is None,
        is_leaving=by_name.get(names.HEADER_ENDPOINT_LEAVING.lower()) == _IS_LEAVING,
    )


def read_length(response: h11.Response) -> int | None:
    """Returns the size of a response's body in bytes, None if it states none."""
    # The codec refuses a length that is no number, and several different ones.
    for name, value in response.headers:
        if name == b"content-length":
            return min(int(value), MAX_BODY_BYTES)
    return None


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


def _parse_retry_after(text: str) -> float | None:
    """Returns a time in seconds, or None if it is malformed, as a date is.

    >>> _parse_retry_after("0.5"), _parse_retry_after("-1"), _parse_retry_after("1e9")
    (0.5, None, None)
    """
    if _SECONDS.fullmatch(text) is None:
        return None
    return min(float(text), MAX_RETRY_AFTER_S)


def decode_headers(response: h11.Response) -> Sequence[Header]:
    """Returns the headers of a response in their order."""
    return [
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    ]
