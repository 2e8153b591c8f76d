"""What callers send and read, byte by byte."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import Mapping

import attrs

from standins.platform import HOST


@attrs.define
class Response:
    """An answer as its bytes came; ``is_complete`` is whether its end came too."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads an answer with a length or in chunks."""
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
    """Returns the ids of a stream's events in order."""
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

    :param tokens: tokens of the prompt and the answer, as ``5000,230``; None for calls.
    :param headers: further ones.
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
