"""Encodes the HTTP requests of callers and parses the responses."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import Mapping

import attrs

from standins.platform import HOST


@attrs.define
class Response:
    """A response as received.

    :ivar headers: the header fields by lower-case name.
    :ivar body: what was received of the body.
    :ivar is_complete: whether the body was received to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads a response whose body has a ``Content-Length`` or is chunked.

    :raises asyncio.IncompleteReadError: if the connection ends within the head or
        within a body with a ``Content-Length``.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(head[0].split()[1])
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Response(status, headers, body, True)
    body = b""
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Response(status, headers, body, False)
        if not size:
            return Response(status, headers, body, True)
        body += chunk[:-2]


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the server-sent events of a body, in order."""
    lines = body.decode().split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def encode_request(
    path: str,
    request_id: str,
    timeout_ms: int,
    key: str | None,
    tokens: str | None = None,
    method: str = "POST",
    body: bytes = b"",
    headers: Mapping[str, str] = MappingProxyType({}),
) -> bytes:
    """Returns the bytes of one request.

    :param timeout_ms: the time limit that the request states, in milliseconds.
    :param key: the API key of the caller's organisation, or None.
    :param tokens: the tokens of the prompt and of the output, as ``5000,230``; None for
        a call to a plain service.
    :param headers: further header fields.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Cicadacourse-Request-Id: {request_id}",
        f"X-Cicadacourse-Deadline-Ms: {timeout_ms}",
        f"Content-Length: {len(body)}",
    ]
    if tokens is not None:
        lines.append("X-Cicadacourse-Model: m")
        lines.append(f"X-Cicadacourse-Token-Usage: {tokens}")
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {text}" for name, text in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body
