"""Reads an engine's stream line by line, and what its failure means."""

from __future__ import annotations

from collections import deque

from cicadacourse.endpoints._answers import refusal_of, to_line
from cicadacourse.endpoints._curl import HTTP_OK, BodyStream
from cicadacourse.endpoints._model import Endpoint, StreamLine
from cicadacourse.errors import CicadacourseError, Error, ErrorKind

HTTP_REFUSED = frozenset({400, 404, 409, 413, 422, 429, 503})


class LineReader:
    """The lines of an engine's stream, read one by one."""

    def __init__(self, endpoint: Endpoint, stream: BodyStream) -> None:
        self._endpoint = endpoint
        self._stream = stream
        self._ready: deque[bytes] = deque()

    def __aiter__(self) -> LineReader:
        return self

    async def __anext__(self) -> StreamLine:
        try:
            if not self._ready:
                await self._read()
            return to_line(self._ready.popleft())
        except (ValueError, KeyError, TypeError) as error:
            detail = f"{self._endpoint.name}: wrong line: {error}"
            raise CicadacourseError(
                Error(ErrorKind.ENDPOINT_FAILED, detail, "wrong_answer")
            ) from error

    async def _read(self) -> None:
        lines = await self._stream.read_lines()
        if lines and self._stream.status == HTTP_OK:
            self._ready.extend(lines)
            return
        if self._stream.error is None and self._stream.status == HTTP_OK:
            raise StopAsyncIteration
        content = b"".join(lines) + self._stream.rest + await self._stream.read_all()
        raise CicadacourseError(to_error(self._endpoint, self._stream, content))


def to_error(endpoint: Endpoint, stream: BodyStream, content: bytes) -> Error:
    """Returns what a failed transfer says about whether the endpoint acted."""
    detail = f"{endpoint.name}: {stream.error or stream.status}"
    if not stream.connected:
        return Error(ErrorKind.ENDPOINT_UNREACHABLE, detail)
    if stream.error is None and stream.status in HTTP_REFUSED:
        return refusal_of(endpoint, stream.status, content)
    return Error(ErrorKind.ENDPOINT_FAILED, detail)
