"""Builds a request from a caller's HTTP request and the platform's headers."""

from __future__ import annotations

import math

from tornado.httputil import HTTPHeaders, RequestStartLine

from cicadacourse.exchange import CallerRequest, Header, Prompt
from cicadacourse.platform import _names as names
from cicadacourse.util.clock import MS_PER_S

# Bounds what is kept of each prompt; the platform's prompts have a few parts.
MAX_SHARED_PARTS = 32
MAX_PART_ID_LENGTH = 64
# No engine takes as many; sums of some still fit into the fields of load reports.
MAX_TOKENS = 2**28


def read_request(
    start: RequestStartLine, headers: HTTPHeaders, body: bytes, arrived: float
) -> CallerRequest:
    """Returns a caller's request.

    :param arrived: when its headers were read, loop time in seconds.
    :raises ValueError: if a number in a header is malformed.
    """
    return CallerRequest(
        id=headers.get(names.HEADER_REQUEST_ID, ""),
        method=start.method,
        host=headers.get("Host", ""),
        target=start.path,
        key=_read_key(headers),
        arrived=arrived,
        timeout_s=_read_timeout_s(headers),
        last_event_id=headers.get(names.HEADER_LAST_EVENT_ID),
        prompt=_read_prompt(headers),
        headers=_forwarded_headers(headers),
        body=body,
        header_bytes=_header_bytes(headers),
    )


def _read_timeout_s(headers: HTTPHeaders) -> float | None:
    """Returns how long the caller waits, None if it states no limit.

    :raises ValueError: if it is no finite number.
    """
    text = headers.get(names.HEADER_TIME_LEFT_MS)
    if text is None:
        return None
    timeout_s = float(text) / MS_PER_S
    if not math.isfinite(timeout_s):
        raise ValueError(f"the time limit {text!r:.40} is not finite")
    return timeout_s


def _header_bytes(headers: HTTPHeaders) -> int:
    """Returns the size of all header lines in bytes, separators included."""
    return sum(
        len(name) + len(value) + len(": \r\n") for name, value in headers.get_all()
    )


def _read_key(headers: HTTPHeaders) -> str | None:
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != names.AUTH_SCHEME.lower():
        return None
    return key.strip() or None


def _read_prompt(headers: HTTPHeaders) -> Prompt | None:
    """Returns the prompt's model and token counts, None if the caller states none.

    :raises ValueError: if a token count is malformed.
    """
    tokens = headers.get(names.HEADER_TOKEN_COUNTS)
    if tokens is None:
        return None
    prompt_tokens, _, output_tokens = tokens.partition(",")
    if int(prompt_tokens) < 0 or int(output_tokens or 0) < 0:
        raise ValueError(f"token counts are {tokens!r:.40}, expected none below 0")
    return Prompt(
        model=headers.get(names.HEADER_MODEL, ""),
        tokens=min(MAX_TOKENS, int(prompt_tokens)),
        max_output_tokens=min(MAX_TOKENS, int(output_tokens or 0)),
        shared_part_ids=_read_shared_parts(headers.get(names.HEADER_PROMPT_PARTS, "")),
    )


def _read_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids of a prompt's parts without the last, which no other prompt has.

    >>> _read_shared_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    """
    ids = [part.partition(":")[0].strip() for part in text.split(",")]
    shared = [id for id in ids[:-1] if 0 < len(id) <= MAX_PART_ID_LENGTH]
    return tuple(dict.fromkeys(shared))[:MAX_SHARED_PARTS]


def _forwarded_headers(headers: HTTPHeaders) -> tuple[Header, ...]:
    """Returns the headers that are forwarded to endpoints unchanged."""
    connection_options = headers.get("Connection", "").split(",")
    dropped = {item.strip().lower() for item in connection_options} | {"host"}
    dropped |= names.HEADERS_NOT_FORWARDED_TO_ENDPOINTS
    return tuple(
        Header(name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    )
