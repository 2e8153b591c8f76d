"""Structured logs: rate-limited lines of JSON, written without blocking."""

from __future__ import annotations

import contextlib
import datetime
import json
import logging
import os
import queue
import sys
import threading
from typing import Any, Iterator

import logbook
from logbook.compat import RedirectLoggingHandler

FLUSH_PERIOD_S = 0.25
MAX_QUEUED_CHUNKS = 4000
# Limits of what is kept until it is written, as callers choose some of the texts.
MAX_QUEUED_BYTES = 8_388_608
MAX_PERIOD_BYTES = 1_048_576
MAX_TEXT_CHARACTERS = 4000
# Limits on the records of one flush period, warnings and others counted together:
# ordinary lines are suppressed above the first, warnings only above the second.
LINES_PER_PERIOD = 200
WARNINGS_PER_PERIOD = 400
# The event text of the line that reports a loss of lines.
LINES_DROPPED = "log lines were dropped"
_CLOSE_TIMEOUT_S = 0.5


def get_logger(part: str) -> logbook.Logger:
    """Returns the logger of one part, named in the field ``part`` of its lines."""
    return logbook.Logger(part)


class LineWriter:
    """Writes lines from a bounded queue in a thread, so that logging never blocks.

    :param descriptor: the file descriptor to write to.
    :ivar dropped_count: chunks, each with the lines of one flush period, that were not
        written since this count was last reset.
    :ivar queued_bytes: the bytes that wait to be written.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self.queued_bytes = 0
        self._lock = threading.Lock()
        self._descriptor = descriptor
        self._chunks: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_CHUNKS)
        self._thread = threading.Thread(target=self._run, daemon=True, name="log")
        self._thread.start()

    def put(self, chunk: bytes) -> None:
        """Queues a chunk of lines, or counts it as dropped if the queue is full."""
        if self.queued_bytes + len(chunk) > MAX_QUEUED_BYTES:
            self.dropped_count += 1
            return
        try:
            self._chunks.put_nowait(chunk)
        except queue.Full:
            self.dropped_count += 1
            return
        self._change_queued(len(chunk))

    def _change_queued(self, difference: int) -> None:
        with self._lock:
            self.queued_bytes += difference

    def close(self) -> None:
        """Waits for the thread to write the queued lines, up to a timeout."""
        with contextlib.suppress(queue.Full):
            self._chunks.put_nowait(None)
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            chunk = self._chunks.get()
            if chunk is None:
                return
            if not self._write(chunk):
                self.dropped_count += 1
            self._change_queued(-len(chunk))

    def _write(self, chunk: bytes) -> bool:
        remaining = memoryview(chunk)
        while remaining:
            try:
                remaining = remaining[os.write(self._descriptor, remaining) :]
            except OSError:
                return False
        return True


class JsonHandler(logbook.Handler):
    """Formats log records as JSON lines and limits their number per flush period.

    Lines are buffered in memory until :meth:`flush`, which must be called once per
    period. Lines above the limit are counted instead of written.

    :param writer: writes the lines.
    :param level: the lowest level that is logged.
    :param constants: fields of every line, such as the instance's name.
    :ivar suppressed_count: lines above the limit since the last flush.
    """

    def __init__(self, writer: LineWriter, level: str, **constants: Any) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self.suppressed_count = 0
        self._writer = writer
        self._constants = constants
        self._lines: list[bytes] = []
        self._line_bytes = 0
        self._count = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffers one record; never blocks, and converts unknown types to text."""
        self._count += 1
        is_warning = record.level >= logbook.WARNING
        limit = WARNINGS_PER_PERIOD if is_warning else LINES_PER_PERIOD
        if self._count > limit or self._line_bytes > MAX_PERIOD_BYTES:
            self.suppressed_count += 1
            return
        line = self._format(record)
        self._line_bytes += len(line)
        self._lines.append(line)

    def flush(self) -> None:
        """Passes the buffered lines to the writer and starts a new period.

        If lines were lost, a last line reports the number of suppressed lines and the
        number of unwritten chunks.
        """
        self._count = self._line_bytes = 0
        if self.suppressed_count or self._writer.dropped_count:
            self._lines.append(self._loss_line())
        if self._lines:
            self._writer.put(b"".join(self._lines))
            self._lines = []

    def _format(self, record: logbook.LogRecord) -> bytes:
        fields = dict(record.extra)
        if record.exc_info:
            fields["error"] = record.formatted_exception
        level = record.level_name.lower()
        return self._to_line(record.time, level, record.channel, record.message, fields)

    def _loss_line(self) -> bytes:
        fields = {
            "suppressed": self.suppressed_count,
            "unwritten": self._writer.dropped_count,
        }
        self.suppressed_count = 0
        self._writer.dropped_count = 0
        time = datetime.datetime.now(datetime.timezone.utc)
        return self._to_line(time, "warning", "log", LINES_DROPPED, fields)

    def _to_line(
        self,
        time: datetime.datetime,
        level: str,
        part: str | None,
        event: str,
        fields: dict[str, Any],
    ) -> bytes:
        """Returns a line with its common fields first; ``time`` is in UTC."""
        line = {
            "time": f"{time:%Y-%m-%dT%H:%M:%S.%f}Z",
            "level": level,
            **self._constants,
            "part": part,
            "event": event,
            **{name: _cut(value) for name, value in fields.items()},
        }
        return json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"


def _cut(value: Any) -> Any:
    """Returns a value, or the begin of a text that is too long."""
    if not isinstance(value, str) or len(value) <= MAX_TEXT_CHARACTERS:
        return value
    rest = len(value) - MAX_TEXT_CHARACTERS
    return f"{value[:MAX_TEXT_CHARACTERS]}… {rest} more"


@contextlib.contextmanager
def _redirected_libraries() -> Iterator[None]:
    """Redirects records of the standard library's ``logging`` to logbook while open."""
    redirection = RedirectLoggingHandler()
    root = logging.getLogger()
    root.addHandler(redirection)
    try:
        yield
    finally:
        root.removeHandler(redirection)


@contextlib.contextmanager
def json_logging(level: str, **constants: Any) -> Iterator[JsonHandler]:
    """Logs the whole process to standard output as JSON lines while it is open.

    :param level: the lowest level that is logged.
    :param constants: fields of every line.
    """
    writer = LineWriter(sys.stdout.fileno())
    handler = JsonHandler(writer, level, **constants)
    try:
        with handler.applicationbound(), _redirected_libraries():
            yield handler
    finally:
        handler.flush()
        writer.close()
