"""What callers send can't fill the memory by way of the log."""

from __future__ import annotations

import contextlib
import json
import os
from typing import Iterator

import logbook
import pytest

from cicadacourse.util.logging import (
    MAX_PERIOD_BYTES,
    MAX_QUEUED_BYTES,
    MAX_TEXT_CHARACTERS,
    JsonHandler,
    LineWriter,
)

# A request id of the size of all headers that a configuration allows.
LONG_ID = "i" * 15_000
PERIODS = 100
LINES = 400


@pytest.fixture
def blocked_writer() -> Iterator[LineWriter]:
    """Yields a writer whose reader reads nothing."""
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    yield writer
    os.close(reading)
    with contextlib.suppress(OSError):
        writer.close()
    os.close(writing)


def test_lines_that_are_not_read_are_bounded_in_bytes(
    blocked_writer: LineWriter,
) -> None:
    """Only their number was bounded: requests with long ids took hundreds of MB."""
    handler = JsonHandler(blocked_writer, "info")
    logger = logbook.Logger("test")
    with handler.applicationbound():
        for _ in range(PERIODS):
            for _ in range(LINES):
                logger.warning("request refused", extra={"request": LONG_ID})
            assert sum(map(len, handler._lines)) <= MAX_PERIOD_BYTES + 2 * len(LONG_ID)
            handler.flush()
    assert blocked_writer.queued_bytes <= MAX_QUEUED_BYTES
    assert blocked_writer.dropped_count


def test_long_texts_are_cut() -> None:
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    handler = JsonHandler(writer, "info")
    with handler.applicationbound():
        logbook.Logger("test").info("x", extra={"request": LONG_ID, "count": 3})
    handler.flush()
    writer.close()
    os.close(writing)
    with os.fdopen(reading) as lines:
        line = json.loads(lines.read())
    assert line["count"] == 3
    assert line["request"].startswith("i" * MAX_TEXT_CHARACTERS)
    assert len(line["request"]) < MAX_TEXT_CHARACTERS + 40
