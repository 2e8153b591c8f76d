"""Callers' connections that wait for a request; closes those that wait for too long."""

from __future__ import annotations

import asyncio

import attrs
from tornado.iostream import IOStream

from cicadacourse.catalog import CallerLimits
from cicadacourse.logs import CONNECTIONS_CLOSED, log
from cicadacourse.metrics import Metrics, declare
from cicadacourse.util.clock import now

CLOSED = declare(
    "caller_connections_closed_total",
    "Connections that waited for a request for too long, by reason.",
)

SWEEP_PERIOD_S = 0.25
# A line names no more callers than this, whatever number of connections is closed.
MAX_CALLERS_LOGGED = 5
REASON_IDLE = "idle"


@attrs.define(eq=False)
class _Wait:
    """A wait for the head of a request; times are loop times in seconds."""

    since: float
    deadline: float


class WaitingConnections:
    """The connections on which no request is in progress.

    :param limits: the limits in force.
    :param margin_s: added to each limit, in seconds.
    """

    def __init__(self, metrics: Metrics, limits: CallerLimits, margin_s: float) -> None:
        self._metrics = metrics
        self._limits = limits
        self._margin_s = margin_s
        self._wait_by_stream: dict[IOStream, _Wait] = {}

    def apply_limits(self, limits: CallerLimits) -> None:
        """Applies limits to the waits that begin from now on."""
        self._limits = limits

    def begin_wait(self, stream: IOStream) -> None:
        """Records that a connection waits for the head of a request."""
        limits = self._limits
        longest_s = max(limits.idle_timeout_s, limits.header_timeout_s)
        deadline = now() + longest_s + self._margin_s
        self._wait_by_stream[stream] = _Wait(now(), deadline)

    def end_wait(self, stream: IOStream) -> None:
        """Records that the head was read, or that the connection was closed."""
        self._wait_by_stream.pop(stream, None)

    async def close_periodically(self) -> None:
        """Closes connections that wait for too long, until it is cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self._close_overdue()

    def _close_overdue(self) -> None:
        now_s = now()
        for stream in [item for item in self._wait_by_stream if item.closed()]:
            self.end_wait(stream)
        overdue = {
            stream: wait
            for stream, wait in self._wait_by_stream.items()
            if now_s > wait.deadline
        }
        if overdue:
            self._close(overdue, REASON_IDLE)

    def _close(self, waits: dict[IOStream, _Wait], reason: str) -> None:
        """Closes connections; one line tells of all of them."""
        log(
            CONNECTIONS_CLOSED,
            reason=reason,
            count=len(waits),
            callers=[_caller_of(stream) for stream in list(waits)[:MAX_CALLERS_LOGGED]],
            waited_s=round(now() - min(wait.since for wait in waits.values()), 3),
        )
        self._metrics.count(CLOSED, len(waits), reason=reason)
        for stream in waits:
            self.end_wait(stream)
            stream.close()


def _caller_of(stream: IOStream) -> str:
    """Returns a caller's address, or a dash if the system no longer knows it."""
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "-"
    return f"{host}:{port}"
