"""Checks an engine's lines, so that only the own answer is passed on, in order."""

from __future__ import annotations

from cicadacourse.endpoints import StreamLine
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

    def take(self, line: StreamLine, session: str, attempt: int) -> int | None:
        """Takes one line of a session's stream.

        :returns: how many tokens it adds, or None if it is to be dropped.
        :raises CicadacourseError: with ``STREAM_LOST`` if text before it is missing.
        """
        reason = self._reason_to_drop(line, session, attempt)
        if reason:
            self._metrics.count(LINES_DROPPED, reason=reason)
            return None
        if line.position > self.position or line.end and not self._is_whole(line):
            raise lost_stream(f"gap before position {line.position}", "gap")
        tokens = count_tokens(line.text)
        self.position += tokens
        self.ended = line.end
        return tokens

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


def lost_stream(detail: str, reason: str) -> CicadacourseError:
    """Returns the failure of a stream that cannot be taken for whole."""
    return CicadacourseError(Error(ErrorKind.STREAM_LOST, detail, reason))
