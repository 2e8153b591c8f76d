"""One request over all its tries: what to send, and what its lines mean."""

from __future__ import annotations

import json
from typing import Any

import attrs

from cicadacourse.caller._reply import (
    COMPLETE,
    FAILED,
    NOT_RUN,
    REFUSED,
    UNKNOWN,
    Reply,
)
from cicadacourse.util.clock import now
from cicadacourse.util.tokens import count_tokens

PAUSE_BEFORE_RETRY_S = 0.2


class BrokenError(Exception):
    """The connection broke; ``connected`` if the request may have left."""

    def __init__(self, connected: bool) -> None:
        super().__init__("connection broke")
        self.connected = connected


@attrs.define
class Exchange:
    """One request over all its tries."""

    fields: dict[str, Any]
    reply: Reply
    started: float
    position: int = 0
    token: str = ""
    may_have_run: bool = False
    ended: bool = False

    def body(self, time_left_s: float) -> bytes:
        """Returns the request's body, with what is already here of its answer."""
        self.reply.error = None
        fields = {**self.fields, "time_limit_s": max(time_left_s, 0.001)}
        if self.position:
            self.reply.resumes += 1
            fields["resume"] = {
                "position": self.position,
                "token": self.token,
                "text": self.reply.text,
            }
        return json.dumps(fields).encode()

    @property
    def over(self) -> bool:
        """Whether this try was answered."""
        return self.ended or self.reply.error is not None

    def take_lines(self, lines: list[bytes]) -> None:
        """Reads lines up to the end mark, a result or an error."""
        for text in lines:
            if self.over:
                return
            try:
                self._take(json.loads(text))
            except (ValueError, KeyError, TypeError):
                raise BrokenError(connected=True) from None

    def _take(self, line: dict[str, Any]) -> None:
        if "error" in line:
            self._take_error(line["error"])
            return
        self.may_have_run = True
        if line.get("request") != self.fields["request_id"]:
            self.reply.wrong = True
        elif "result" in line:
            self.reply.result = line["result"]
            self._end()
        elif "resume" in line:
            self.token = line["resume"]
        elif line.get("position") != self.position:
            self.reply.wrong = True
        elif line.get("end"):
            self._end()
        else:
            self._take_text(line["text"])

    def _take_text(self, text: str) -> None:
        if self.reply.first_token_s is None:
            self.reply.first_token_s = now() - self.started
        self.reply.text += text
        self.position += count_tokens(text)

    def _take_error(self, error: dict[str, Any]) -> None:
        self.reply.error = error
        run = error.get("run")
        self.may_have_run = self.may_have_run or run != NOT_RUN
        self.reply.outcome = FAILED if run == FAILED else UNKNOWN
        if not self.may_have_run:
            self.reply.outcome = REFUSED

    def _end(self) -> None:
        self.ended = True
        self.reply.outcome = COMPLETE

    def note_lost(self, connected: bool) -> None:
        """Notes that a try ended without an answer."""
        self.may_have_run = self.may_have_run or connected
        self.reply.outcome = UNKNOWN if self.may_have_run else REFUSED
        self.reply.error = {
            "kind": "connection_lost",
            "run": UNKNOWN if self.may_have_run else NOT_RUN,
            "retry_after_s": PAUSE_BEFORE_RETRY_S,
        }

    def pause_before_retry(self) -> float | None:
        """Returns the pause before another try, or None if there is none."""
        error = self.reply.error
        if self.ended or error is None or "retry_after_s" not in error:
            return None
        if self.may_have_run and not self._may_send_again():
            return None
        return float(error["retry_after_s"])

    def _may_send_again(self) -> bool:
        """Whether a second send is harmless although the first may have run."""
        if self.fields.get("key"):
            return True
        # Only generate routes take max_tokens, and they are repeatable by default.
        return self.fields.get("repeatable", "max_tokens" in self.fields)
