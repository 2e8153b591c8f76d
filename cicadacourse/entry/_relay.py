"""Checks an engine's lines, so that only the own answer is passed on, in order."""

from __future__ import annotations

from typing import AsyncIterator

from cicadacourse.endpoints import Lines, StreamLine
from cicadacourse.entry._settings import LINES_DROPPED
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.util.tokens import count_tokens

CROSSED = "crossed"
LATE = "late"
DUPLICATED = "duplicated"


class AnswerCheck:
    """What is known of one request's answer so far.

    :param position: how many tokens the caller has.
    """

    def __init__(self, request_id: str, metrics: Metrics, position: int = 0) -> None:
        self.request_id = request_id
        self.position = position
        self.ended = False
        self._metrics = metrics

    async def own_lines(
        self, lines: Lines, session: str, attempt: int
    ) -> AsyncIterator[StreamLine]:
        """Yields the lines that continue the answer, up to the end mark.

        :raises CicadacourseError: with ``STREAM_LOST`` if text is missing or the
            stream ends without its mark.
        """
        async for line in lines:
            reason = self._reason_to_drop(line, session, attempt)
            if reason:
                self._metrics.count(LINES_DROPPED, reason=reason)
                continue
            if line.position > self.position or line.end and not self._is_whole(line):
                raise _lost(f"gap before position {line.position}", "gap")
            self.position += count_tokens(line.text)
            self.ended = line.end
            yield line
            if line.end:
                return
        raise _lost("stream ended without its mark", "no_end_mark")

    def _reason_to_drop(self, line: StreamLine, session: str, attempt: int) -> str:
        if line.request_id != self.request_id:
            return CROSSED
        if (line.session, line.attempt) != (session, attempt):
            return LATE
        if not line.end and line.position < self.position:
            return DUPLICATED
        return ""

    def _is_whole(self, end: StreamLine) -> bool:
        return end.position == self.position


def _lost(detail: str, reason: str) -> CicadacourseError:
    return CicadacourseError(Error(ErrorKind.STREAM_LOST, detail, reason))
