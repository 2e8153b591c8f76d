"""Tests of the structured logs, and of ``cicadacourse explain``, which reads them."""

from __future__ import annotations

import json
import os
import pathlib

import pytest

from cicadacourse.cmd import explain
from cicadacourse.logs import REQUEST_ENDED, REQUEST_REFUSED, REQUEST_SENT, log
from cicadacourse.util.logging import (
    LINES_DROPPED,
    LINES_PER_PERIOD,
    MAX_QUEUED_CHUNKS,
    JsonHandler,
    LineWriter,
)


class Collector:
    """Collects the lines of a handler, in place of a writer."""

    def __init__(self) -> None:
        self.dropped_count = 0
        self.lines: list[dict[str, object]] = []

    def put(self, data: bytes) -> None:
        self.lines += [json.loads(line) for line in data.splitlines()]


def test_line_is_one_json_object_with_the_fields_of_its_event() -> None:
    collector = Collector()
    handler = JsonHandler(collector, "INFO", instance="one")
    with handler.applicationbound():
        log(REQUEST_ENDED, request="r1", took_s=0.5, odd=object)
    handler.flush()
    (line,) = collector.lines
    assert (line["instance"], line["part"]) == ("one", "gateway")
    assert (line["event"], line["request"]) == ("request ended", "r1")


def test_lines_are_limited_per_period_but_warnings_have_a_higher_limit() -> None:
    """A refusal is still logged while ordinary lines are over their limit."""
    collector = Collector()
    handler = JsonHandler(collector, "INFO", instance="one")
    with handler.applicationbound():
        for _ in range(LINES_PER_PERIOD + 50):
            log(REQUEST_ENDED, request="r1")
        log(REQUEST_REFUSED, request="r2")
    handler.flush()
    events = [line["event"] for line in collector.lines]
    assert events.count("request ended") == LINES_PER_PERIOD
    assert events.count("request refused") == 1
    assert collector.lines[-1]["suppressed"] == 50


def test_line_of_a_loss_has_the_common_fields_and_is_shown_by_explain() -> None:
    """It was skipped by ``explain``, which starts a line at its time."""
    collector = Collector()
    handler = JsonHandler(collector, "INFO", instance="one")
    with handler.applicationbound():
        log(REQUEST_SENT, request="r1")
        for _ in range(LINES_PER_PERIOD):
            log(REQUEST_ENDED, request="r1")
    handler.flush()
    common_fields = ["time", "level", "instance", "part", "event"]
    assert list(collector.lines[-1])[:5] == list(collector.lines[0])[:5]
    assert list(collector.lines[-1])[:5] == common_fields
    lines = explain.parse_lines(json.dumps(line) for line in collector.lines)
    last = explain.select_lines("r1", lines)[-1]
    assert (last.event, last.instance) == (LINES_DROPPED, "one")
    assert last.fields["suppressed"] == 1


def test_stalled_reader_does_not_block_and_lost_lines_are_counted() -> None:
    """Nobody reads the pipe, so it fills up; logging must go on without waiting."""
    reader, writer = os.pipe()
    try:
        lines = LineWriter(writer)
        line = b"x" * 4096 + b"\n"
        for _ in range(MAX_QUEUED_CHUNKS + 500):
            lines.put(line)
        assert lines.dropped_count > 0
    finally:
        os.close(reader)
        os.close(writer)


LOG_LINES = [
    {"time": "2026-01-01T00:00:01.0Z", "instance": "a", "event": "store lost"},
    {"time": "2026-01-01T00:00:02.0Z", "instance": "b", "event": "store lost"},
    {
        "time": "2026-01-01T00:00:03.0Z",
        "instance": "a",
        "event": "request sent",
        "request": "r1",
        "endpoint": "e1",
    },
    {
        "time": "2026-01-01T00:00:03.1Z",
        "instance": "a",
        "event": "endpoint set aside",
        "endpoint": "e2",
    },
    {
        "time": "2026-01-01T00:00:04.0Z",
        "instance": "a",
        "event": "attempt failed",
        "request": "r1",
        "endpoint": "e1",
        "reason": "stream_silent",
        "detail": "no event in 1.00 s",
    },
    {
        "time": "2026-01-01T00:00:04.1Z",
        "instance": "a",
        "event": "request refused",
        "request": "r1",
        "status": 502,
        "reason": "stream_silent",
        "detail": "no event in 1.00 s",
    },
]


def test_explain_merges_the_logs_of_several_instances(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    files = []
    for name in "ab":
        path = tmp_path / f"{name}.log"
        rows = [json.dumps(row) for row in LOG_LINES if row["instance"] == name]
        path.write_text("\n".join(["not a line", *rows]))
        files.append(str(path))
    assert explain.main(["r1", *reversed(files)]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert [line.split(": ")[1].split(" status")[0] for line in shown[:-1]] == [
        "store lost",
        "request sent endpoint=e1",
        "attempt failed endpoint=e1 reason=stream_silent detail=no event in 1.00 s",
        "request refused",
    ]
    assert shown[-1].startswith("cause: answered 502 for stream_silent")
    assert "e1 failed" in shown[-1]


@pytest.mark.parametrize("prefix", ["", "front-a-1 | "])
def test_explain_orders_lines_across_midnight(prefix: str) -> None:
    """Lines of a request that ends after midnight were shown before its first ones."""
    times = ["2025-12-31T23:59:58.9Z", "2025-12-31T23:59:59.9Z", "2026-01-01T00:00:00Z"]
    events = ["store lost", "request sent", "request ended"]
    rows = [
        {"time": time, "instance": "a", "event": event, "request": "r1"}
        for time, event in zip(times, events)
    ]
    del rows[0]["request"]
    lines = explain.parse_lines(prefix + json.dumps(row) for row in reversed(rows))
    assert [line.event for line in explain.select_lines("r1", lines)] == events


def test_explain_skips_lines_without_a_date() -> None:
    texts = ['{"time":"00:00:01Z","event":"e"}', '{"time":7,"event":"e"}']
    assert explain.parse_lines(texts) == []


def test_cause_of_a_request_without_an_end_is_the_restart_of_its_instance() -> None:
    rows = [LOG_LINES[2], {**LOG_LINES[0], "time": "2026-01-01T00:00:09.0Z"}]
    rows[1]["event"] = "instance started"
    lines = explain.parse_lines(json.dumps(row) for row in rows)
    assert "started again at 00:00:09" in explain.find_cause("r1", lines)


def test_explain_exits_with_1_for_an_unknown_request(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "empty.log"
    path.write_text("")
    assert explain.main(["r1", str(path)]) == explain.EXIT_NOT_FOUND


PROXIED_LINES = [
    {
        "time": "2026-01-01T00:00:03.0Z",
        "instance": "a",
        "event": "request sent",
        "request": "r1",
        "endpoint": "e1",
        "waited_s": 0.0,
        "expected_s": 0.1,
    },
    {
        "time": "2026-01-01T00:00:03.1Z",
        "instance": "b",
        "event": "proxied exchange opened",
        "request": "r1",
        "endpoint": "e1",
        "sender": "a",
    },
    {
        "time": "2026-01-01T00:00:03.2Z",
        "instance": "a",
        "event": "exchange goes through peer",
        "request": "r1",
        "endpoint": "e1",
        "peer": "b",
        "reason": "lost",
    },
    {
        "time": "2026-01-01T00:00:05.0Z",
        "instance": "b",
        "event": "proxied exchange ended",
        "request": "r1",
        "endpoint": "e1",
        "sender": "a",
        "outcome": "complete",
    },
]
RESTARTED_LINE = {
    "time": "2026-01-01T00:00:06.0Z",
    "instance": "a",
    "event": "instance started",
}
ENDED_LINE = {
    "time": "2026-01-01T00:00:04.0Z",
    "instance": "a",
    "event": "request ended",
    "request": "r1",
    "outcome": "answered",
    "took_s": 1.0,
}


def test_explain_follows_a_request_to_the_peer_that_carried_it() -> None:
    """The last line of a request may be the peer's, which didn't end it."""
    rows = [json.dumps(row) for row in [*PROXIED_LINES, ENDED_LINE]]
    lines = explain.parse_lines(rows)
    shown = [(line.instance, line.event) for line in explain.select_lines("r1", lines)]
    assert ("b", "proxied exchange opened") in shown
    assert ("b", "proxied exchange ended") in shown
    cause = explain.find_cause("r1", lines)
    assert cause.startswith("ended as answered after 1.0 s")
    assert cause.endswith("; e1 was reached through b (lost)")


def test_explain_finds_the_restart_of_the_instance_that_served_not_of_its_peer() -> (
    None
):
    rows = [json.dumps(row) for row in [*PROXIED_LINES, RESTARTED_LINE]]
    cause = explain.find_cause("r1", explain.parse_lines(rows))
    assert cause.startswith("a ended without a log line")
