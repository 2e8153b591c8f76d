"""Where an answer goes."""

from __future__ import annotations

import abc
import json
from typing import Any

from cicadacourse.endpoints import StreamLine
from cicadacourse.errors import Error


class CallerLost(Exception):
    """The caller left, or took nothing of its answer for too long."""


class Sink(abc.ABC):
    """One caller's answer; :meth:`send` returns once the caller's side took it."""

    started = False

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Sends part of the answer; the first part makes it a success.

        :raises CallerLost: if the caller does not take it.
        """

    @abc.abstractmethod
    async def refuse(self, request_id: str, error: Error) -> None:
        """Ends an answer that was not started with a refusal."""


def header_line(request_id: str, attempt: int, token: str) -> bytes:
    """Returns the line that says how the answer can be resumed."""
    return _line({"request": request_id, "attempt": attempt, "resume": token})


def text_line(line: StreamLine) -> bytes:
    """Returns the line that passes text on.

    Names are checked on their way in, so that only the text needs encoding.
    """
    text = json.dumps(line.text, ensure_ascii=False)
    head = f'{{"request": "{line.request_id}", "attempt": {line.attempt}'
    return f'{head}, "position": {line.position}, "text": {text}}}\n'.encode()


def end_line(request_id: str, attempt: int, position: int) -> bytes:
    """Returns the end mark of a whole answer."""
    return _line(
        {"request": request_id, "attempt": attempt, "end": True, "position": position}
    )


def error_line(request_id: str, error: Error) -> bytes:
    """Returns the line that ends an answer that could not be made whole."""
    return _line({"request": request_id, "error": error.to_json()})


def result_body(request_id: str, attempt: int, result: Any) -> bytes:
    """Returns the answer of a ``call`` route."""
    return _line({"request": request_id, "attempt": attempt, "result": result})


def _line(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields).encode() + b"\n"
