"""Structured logs: one JSON object a line, bounded, written without blocking."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import queue
import sys
import threading
from typing import Any, Iterator

import logbook
from logbook.compat import RedirectLoggingHandler

FLUSH_PERIOD_S = 0.2
MAX_WAITING_LINES = 4000
LINES_PER_PERIOD = 200
WARNINGS_PER_PERIOD = 400
# The event of the line that counts others which were not written.
LINES_DROPPED = "log lines were dropped"
_CLOSE_TIMEOUT_S = 0.5


def get_logger(part: str) -> logbook.Logger:
    """Returns the logger of one part; the part's name prefixes each line."""
    return logbook.Logger(part)


class LineWriter:
    """Writes lines from a bounded queue in a thread, so that no caller waits.

    :param descriptor: the file descriptor that is written to.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._lines: queue.Queue[bytes | None] = queue.Queue(MAX_WAITING_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True, name="log")
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Queues a line, or counts it as dropped if the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped_count += 1

    def close(self) -> None:
        """Lets the thread write what waits, for a short while."""
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(None)
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            if not self._write(line):
                self.dropped_count += 1

    def _write(self, line: bytes) -> bool:
        rest = memoryview(line)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except OSError:
                return False
        return True


class JsonHandler(logbook.Handler):
    """Turns records into JSON lines, at most so many in each period.

    Lines gather in memory and go to the writer once per period; a warning goes at
    once, with all that gathered before it.

    :param writer: takes the lines.
    :param level: the lowest level that is written.
    :param constants: fields of every line, such as the instance's name.
    """

    def __init__(self, writer: LineWriter, level: str, **constants: Any) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self.suppressed_count = 0
        self._writer = writer
        self._constants = constants
        self._lines: list[bytes] = []
        self._count = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Takes one record; never blocks and never raises for odd values."""
        self._count += 1
        important = record.level >= logbook.WARNING
        if self._count > (WARNINGS_PER_PERIOD if important else LINES_PER_PERIOD):
            self.suppressed_count += 1
            return
        self._lines.append(self._format(record))

    def flush(self) -> None:
        """Hands the gathered lines to the writer and starts a new period."""
        self._count = 0
        if self.suppressed_count or self._writer.dropped_count:
            self._lines.append(self._loss_line())
        if self._lines:
            self._writer.put(b"".join(self._lines))
            self._lines = []

    def _format(self, record: logbook.LogRecord) -> bytes:
        line = {
            "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
            "level": record.level_name.lower(),
            **self._constants,
            "part": record.channel,
            "event": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["error"] = record.formatted_exception
        return json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"

    def _loss_line(self) -> bytes:
        line = {
            **self._constants,
            "level": "warning",
            "part": "log",
            "event": LINES_DROPPED,
            "suppressed": self.suppressed_count,
            "unwritten": self._writer.dropped_count,
        }
        self.suppressed_count = 0
        self._writer.dropped_count = 0
        return json.dumps(line, separators=(",", ":")).encode() + b"\n"


@contextlib.contextmanager
def _redirected_libraries() -> Iterator[None]:
    """Sends what libraries log through the standard library here while it is open."""
    redirection = RedirectLoggingHandler()
    root = logging.getLogger()
    root.addHandler(redirection)
    try:
        yield
    finally:
        root.removeHandler(redirection)


@contextlib.contextmanager
def json_logging(level: str, **constants: Any) -> Iterator[JsonHandler]:
    """Logs the whole process to standard output as JSON lines while it is open."""
    writer = LineWriter(sys.stdout.fileno())
    handler = JsonHandler(writer, level, **constants)
    try:
        with handler.applicationbound(), _redirected_libraries():
            yield handler
    finally:
        handler.flush()
        writer.close()
