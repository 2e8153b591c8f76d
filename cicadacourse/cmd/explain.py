"""``cicadacourse explain``: tell the story of one request from instances' logs."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
from typing import Any, Iterable, Iterator

import attrs

from cicadacourse import logs
from cicadacourse.cmd import EXIT_ERROR, EXIT_OK
from cicadacourse.util.logging import LINES_DROPPED

EXIT_NOT_FOUND = EXIT_ERROR
CONTEXT_S = 5.0
# Beyond the estimate of a first event, to be called late.
LATE_BY_S = 0.3
_COMMON_FIELDS = frozenset({"time", "level", "instance", "part", "event", "request"})
# What an instance came to believe, which may explain what it did next.
CONTEXT_EVENTS = frozenset(
    event.text
    for event in (
        logs.CONFIGURATION_IN_FORCE,
        logs.ENDPOINT_GONE,
        logs.ENDPOINT_EJECTED,
        logs.INSTANCE_LEAVING,
        logs.INSTANCE_STARTED,
        logs.MEMBER_DIED,
        logs.RESUMED,
        logs.STORE_LOST,
        logs.STORE_RECOVERED,
    )
) | {LINES_DROPPED}


@attrs.frozen
class Line:
    """One log line.

    :param seconds: its time of day, in seconds since midnight UTC.
    :param fields: all fields of the line.
    """

    seconds: float
    fields: dict[str, Any]

    @property
    def instance(self) -> str:
        """The instance that wrote it."""
        return str(self.fields.get("instance", ""))

    @property
    def event(self) -> str:
        """The fixed sentence of the line."""
        return str(self.fields.get("event", ""))

    def render(self) -> str:
        """Returns the line for a person."""
        own = {k: v for k, v in self.fields.items() if k not in _COMMON_FIELDS}
        shown = " ".join(f"{name}={value}" for name, value in own.items())
        time = str(self.fields.get("time", ""))[11:23]
        return f"{time} {self.instance}: {self.event} {shown}".rstrip()


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse explain",
        description="Print what instances decided for one request, in order of time, "
        "with what they believed shortly before, and the cause of its end.",
        epilog="exit status: 0 found, 1 no line of the request",
    )
    parser.add_argument("request", metavar="ID", help="the id that the caller sent")
    parser.add_argument(
        "files",
        nargs="*",
        type=pathlib.Path,
        metavar="FILE",
        help="log files of several instances (default: standard input)",
    )
    return parser


def main(argv: list[str]) -> int:
    """Prints the story and returns the exit status."""
    arguments = get_parser().parse_args(argv)
    lines = parse_lines(_read_texts(arguments.files))
    story = tell(arguments.request, lines)
    if not story:
        print(f"no line of request {arguments.request}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in story:
        print(line.render())
    print(f"cause: {find_cause(arguments.request, lines)}")
    return EXIT_OK


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Parses log lines, which may have other text before the JSON; skips others.

    >>> parse_lines(['x {"time":"2026-01-01T00:01:00.5Z","event":"e"}'])[0].seconds
    60.5
    """
    found = []
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            hours, minutes, seconds = fields["time"][11:].rstrip("Z").split(":")
        except (ValueError, KeyError, TypeError):
            continue
        at = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
        found.append(Line(at, fields))
    return sorted(found, key=lambda line: line.seconds)


def tell(request: str, lines: list[Line]) -> list[Line]:
    """Returns a request's lines and what its instances believed around them."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    instances = {line.instance for line in own}
    endpoints = {line.fields["endpoint"] for line in own if "endpoint" in line.fields}
    first = own[0].seconds - CONTEXT_S
    last = own[-1].seconds
    return [
        line
        for line in lines
        if line.fields.get("request") == request
        or (
            first <= line.seconds <= last
            and line.instance in instances
            and _is_context(line, endpoints)
        )
    ]


def find_cause(request: str, lines: list[Line]) -> str:
    """Returns one sentence on why a request ended as it did.

    :param lines: all lines of the instances, in order of time.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    ends = [line for line in own if line.event in CAUSE_BY_EVENT]
    if not ends:
        return _cause_without_end(own, lines)
    cause = CAUSE_BY_EVENT[ends[0].event].format_map(_Shown(ends[0].fields))
    failed = _of(logs.ATTEMPT_FAILED, own)
    if failed:
        attempt = "; before that {endpoint} failed: {reason} ({detail})"
        return cause + attempt.format_map(_Shown(failed[-1].fields))
    return cause + _silence(own, ends[0]) + _delay(own, ends[0])


def _of(event: logs.LogEvent, lines: list[Line]) -> list[Line]:
    return [line for line in lines if line.event == event.text]


def _silence(own: list[Line], end: Line) -> str:
    """Names the endpoint that had not answered when the time was up."""
    sent = _of(logs.REQUEST_SENT, own)
    if not sent or end.fields.get("reason") != "timed_out":
        return ""
    known = (
        "{endpoint} had been sent it {ago_s:.2f} s before, with {time_left_s} s left"
    )
    ago_s = end.seconds - sent[-1].seconds
    return "; " + known.format_map(_Shown({**sent[-1].fields, "ago_s": ago_s}))


def _cause_without_end(own: list[Line], lines: list[Line]) -> str:
    """Tells whether the instance ended while it served the request."""
    last = own[-1]
    for line in lines:
        is_later = line.instance == last.instance and line.seconds > last.seconds
        if is_later and line.event == logs.INSTANCE_STARTED.text:
            return (
                f"{last.instance} ended without a log line while it served the request "
                f"and started again at {line.fields['time'][11:23]}"
            )
        if is_later and line.event == logs.RESUMED.text:
            return f"{last.instance} was paused for {line.fields.get('pause_s')} s"
    return f"no end was logged and {last.instance} logged no start after it"


def _delay(own: list[Line], end: Line) -> str:
    """Tells of a first event that came much later than was estimated."""
    sent = _of(logs.REQUEST_SENT, own)
    if not sent or "first_event_s" not in end.fields:
        return ""
    expected_s = sent[-1].fields.get("waited_s", 0) + sent[-1].fields["expected_s"]
    if end.fields["first_event_s"] < expected_s + LATE_BY_S:
        return ""
    endpoint = sent[-1].fields["endpoint"]
    return (
        f"; {endpoint} was expected to answer after {expected_s:.2f} s: it was slow, "
        "had work of others that was not known here, or a packet was lost"
    )


CAUSE_BY_EVENT = {
    logs.REQUEST_REFUSED.text: "answered {status} for {reason}: {detail}",
    logs.STREAM_ABORTED.text: "the stream was cut for {reason}: {detail}",
    logs.REQUEST_FAILED.text: "an unforeseen error: {reason}",
    logs.CALLER_DISCONNECTED.text: "the caller closed its connection first",
    logs.REQUEST_ENDED.text: "ended as {outcome} after {took_s} s, first event after "
    "{first_event_s} s, longest pause {longest_gap_s} s",
}


class _Shown(dict[str, Any]):
    """Fields for a sentence; those that are missing show as a dash."""

    def __missing__(self, key: str) -> str:
        return "-"


def _is_context(line: Line, endpoints: set[str]) -> bool:
    if line.event not in CONTEXT_EVENTS:
        return False
    return "endpoint" not in line.fields or line.fields["endpoint"] in endpoints


def _read_texts(files: list[pathlib.Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from file
