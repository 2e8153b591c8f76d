"""``cicadacourse explain``: explain how one request ended, from instances' logs."""

from __future__ import annotations

import argparse
import datetime
import json
import pathlib
import sys
from typing import Any, Iterable, Iterator

import attrs

from cicadacourse import logs
from cicadacourse.cmd import EXIT_ERROR, EXIT_OK
from cicadacourse.util.logging import FLUSH_PERIOD_S, LINES_DROPPED

EXIT_NOT_FOUND = EXIT_ERROR
# Context events are shown from this long before the first line of the request.
CONTEXT_S = 5.0
# A loss of lines is shown up to this long after the last line of the request: it is
# logged at the end of the flush period, late if the instance is busy.
LOSS_CONTEXT_S = 5 * FLUSH_PERIOD_S
# A first event this long after its estimate is reported as late.
LATE_BY_S = 0.3
_COMMON_FIELDS = frozenset({"time", "level", "instance", "part", "event", "request"})
# Changes of an instance's state or view, which may explain its later decisions, and
# losses of log lines.
CONTEXT_EVENTS = frozenset(
    event.text
    for event in (
        logs.CONFIGURATION_IN_FORCE,
        logs.ENDPOINT_GONE,
        logs.ENDPOINT_EJECTED,
        logs.ENDPOINT_DECLINES,
        logs.ENDPOINT_LEAVES,
        logs.INSTANCE_LEAVING,
        logs.INSTANCE_STARTED,
        logs.LINKS_LOST,
        logs.LINKS_RESTORED,
        logs.MEMBER_DIED,
        logs.RESUMED,
        logs.STORE_LOST,
        logs.STORE_RECOVERED,
    )
) | {LINES_DROPPED}

# Lines of an instance that carries an exchange for the one that serves the request.
PEER_EVENTS = frozenset(
    event.text
    for event in (logs.PROXIED_OPENED, logs.PROXIED_REFUSED, logs.PROXIED_ENDED)
)


@attrs.frozen
class Line:
    """One log line.

    :param seconds: the time at which it was logged, in seconds since the epoch.
    :param fields: all fields of the line.
    """

    seconds: float
    fields: dict[str, Any]

    @property
    def instance(self) -> str:
        """The name of the instance that logged it."""
        return str(self.fields.get("instance", ""))

    @property
    def event(self) -> str:
        """The fixed text of its event."""
        return str(self.fields.get("event", ""))

    def render(self) -> str:
        """Returns the line as text for a human reader."""
        own = {k: v for k, v in self.fields.items() if k not in _COMMON_FIELDS}
        shown = " ".join(f"{name}={value}" for name, value in own.items())
        time = str(self.fields.get("time", ""))[11:23]
        return f"{time} {self.instance}: {self.event} {shown}".rstrip()


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse explain",
        description="Print what instances decided for one request, in order of time, "
        "with related events shortly before, and why the request ended as it did.",
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
    """Prints the lines and the cause; returns the exit status."""
    arguments = get_parser().parse_args(argv)
    lines = parse_lines(_read_texts(arguments.files))
    selected = select_lines(arguments.request, lines)
    if not selected:
        print(f"no line of request {arguments.request}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in selected:
        print(line.render())
    print(f"cause: {find_cause(arguments.request, lines)}")
    return EXIT_OK


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Parses log lines and sorts them by time; skips texts that are not log lines.

    A log line may have other text before its JSON object. Its time has a date and is in
    UTC unless it has an offset.

    >>> parse_lines(['x {"time":"1970-01-02T00:01:00.5Z","event":"e"}'])[0].seconds
    86460.5
    """
    lines = []
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            time = datetime.datetime.fromisoformat(fields["time"])
        except (ValueError, TypeError):
            continue
        if time.tzinfo is None:
            time = time.replace(tzinfo=datetime.timezone.utc)
        lines.append(Line(time.timestamp(), fields))
    return sorted(lines, key=lambda line: line.seconds)


def select_lines(request: str, lines: list[Line]) -> list[Line]:
    """Returns the lines of a request and the context events of its instances.

    Context events are included from :data:`CONTEXT_S` seconds before the first line of
    the request to its last line, and only if they name none or one of its endpoints;
    losses of lines up to :data:`LOSS_CONTEXT_S` after it, as its end may be among them.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return []
    instances = {line.instance for line in request_lines}
    endpoints = {
        line.fields["endpoint"] for line in request_lines if "endpoint" in line.fields
    }
    first = request_lines[0].seconds - CONTEXT_S
    last = request_lines[-1].seconds
    last_loss = last + LOSS_CONTEXT_S
    return [
        line
        for line in lines
        if line.fields.get("request") == request
        or (
            first <= line.seconds <= (last_loss if _is_loss(line) else last)
            and line.instance in instances
            and _is_context(line, endpoints)
        )
    ]


def find_cause(request: str, lines: list[Line]) -> str:
    """Returns one sentence that says why a request ended as it did.

    :param lines: all lines of the instances, in order of time.
    """
    request_lines = [
        line
        for line in lines
        if line.fields.get("request") == request and line.event not in PEER_EVENTS
    ]
    if not request_lines:
        return "only lines of instances that carried it for another are there"
    ends = [line for line in request_lines if line.event in CAUSE_BY_EVENT]
    if not ends:
        return _cause_without_end(request_lines, lines)
    cause = CAUSE_BY_EVENT[ends[0].event].format_map(_SentenceFields(ends[0].fields))
    failed = _filter_by_event(logs.ATTEMPT_FAILED, request_lines)
    if failed:
        attempt = "; before that {endpoint} failed: {reason} ({detail})"
        return cause + attempt.format_map(_SentenceFields(failed[-1].fields))
    return (
        cause
        + _describe_peer(request_lines)
        + _describe_unanswered_send(request_lines, ends[0])
        + _describe_late_first_event(request_lines, ends[0])
    )


def _filter_by_event(event: logs.LogEvent, lines: list[Line]) -> list[Line]:
    return [line for line in lines if line.event == event.text]


def _describe_peer(request_lines: list[Line]) -> str:
    """Names the instance through which the last attempt went, or returns no text."""
    sent = _filter_by_event(logs.REQUEST_SENT, request_lines)
    proxied = _filter_by_event(logs.EXCHANGE_PROXIED, request_lines)
    if not proxied or (sent and proxied[-1].seconds < sent[-1].seconds):
        return ""
    template = "; {endpoint} was reached through {peer} ({reason})"
    return template.format_map(_SentenceFields(proxied[-1].fields))


def _describe_unanswered_send(request_lines: list[Line], end: Line) -> str:
    """Names the endpoint of the last attempt if it timed out, or returns no text."""
    sent = _filter_by_event(logs.REQUEST_SENT, request_lines)
    if not sent or end.fields.get("reason") != "timed_out":
        return ""
    template = (
        "{endpoint} had been sent it {ago_s:.2f} s before, with {time_left_s} s left"
    )
    ago_s = end.seconds - sent[-1].seconds
    return "; " + template.format_map(
        _SentenceFields({**sent[-1].fields, "ago_s": ago_s})
    )


def _cause_without_end(request_lines: list[Line], lines: list[Line]) -> str:
    """Returns the cause for a request whose end was not logged.

    It is a restart or a pause of the instance that served it, if either was logged.
    """
    last = request_lines[-1]
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


def _describe_late_first_event(request_lines: list[Line], end: Line) -> str:
    """Names an endpoint whose first event was late, or returns no text."""
    sent = _filter_by_event(logs.REQUEST_SENT, request_lines)
    if not sent or "first_event_s" not in end.fields:
        return ""
    expected_s = sent[-1].fields.get("waited_s", 0) + sent[-1].fields["expected_s"]
    if end.fields["first_event_s"] < expected_s + LATE_BY_S:
        return ""
    endpoint = sent[-1].fields["endpoint"]
    return (
        f"; {endpoint} was expected to answer after {expected_s:.2f} s: it was slow, "
        "had load from other instances that was not known here, or a packet was lost"
    )


CAUSE_BY_EVENT = {
    logs.REQUEST_REFUSED.text: "answered {status} for {reason}: {detail}",
    logs.STREAM_ABORTED.text: "the stream was cut for {reason}: {detail}",
    logs.REQUEST_FAILED.text: "{instance} could not handle the request: {reason}",
    logs.CALLER_DISCONNECTED.text: "the caller closed its connection first",
    logs.REQUEST_ENDED.text: "ended as {outcome} after {took_s} s, first event after "
    "{first_event_s} s, longest gap between events {longest_gap_s} s",
}


class _SentenceFields(dict[str, Any]):
    """The fields of a sentence; a missing field is shown as a dash."""

    def __missing__(self, key: str) -> str:
        return "-"


def _is_loss(line: Line) -> bool:
    return line.event == LINES_DROPPED


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
