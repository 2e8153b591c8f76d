"""Callers' connections that wait for a request; closes those that wait for too long.

The expected load is some hundred connections, of which most wait. A loop that is late
by more than the rest of a limit must not close a connection whose request has come
meanwhile, so a connection is closed only after a look into its socket.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict

from cicadacourse.logs import CONNECTIONS_CLOSED, log
from cicadacourse.metrics import Metrics, declare
from cicadacourse.platform._client_stream import ClientStream
from cicadacourse.platform._wait_limits import WaitLimits
from cicadacourse.util.clock import now, time_to_tick

CLOSED = declare(
    "caller_connections_closed_total",
    "Connections that waited for a request for too long, by reason.",
)

SWEEP_PERIOD_S = 0.25
# A line names no more callers than this, whatever number of connections is closed.
MAX_CALLERS_LOGGED = 5
REASON_IDLE = "idle"
REASON_SLOW_HEAD = "slow_head"


class WaitingConnections:
    """The connections on which no request is in progress.

    :param limits: for how long they may wait.
    """

    def __init__(self, metrics: Metrics, limits: WaitLimits) -> None:
        self._metrics = metrics
        self._limits = limits
        self._streams: set[ClientStream] = set()

    def begin_wait(self, stream: ClientStream) -> None:
        """Records that a connection waits for the head of a request."""
        stream.begin_wait()
        self._streams.add(stream)

    def end_wait(self, stream: ClientStream) -> None:
        """Records that the head was read."""
        stream.end_wait()
        self._streams.discard(stream)

    async def close_periodically(self) -> None:
        """Closes connections that wait for too long, until it is cancelled."""
        while True:
            await asyncio.sleep(time_to_tick(SWEEP_PERIOD_S))
            self._close_overdue()

    def close_unused(self) -> None:
        """Closes the connections on which nothing of a request has come."""
        for stream in [item for item in self._streams if item.is_unused]:
            self.end_wait(stream)
            stream.close()

    def _close_overdue(self) -> None:
        self._streams = {item for item in self._streams if not item.closed()}
        now_s = now()
        overdue_by_reason: dict[str, list[ClientStream]] = defaultdict(list)
        for stream in self._streams:
            reason = self._reason_to_close(stream, now_s)
            if reason is not None:
                overdue_by_reason[reason].append(stream)
        for reason, streams in overdue_by_reason.items():
            self._close(streams, reason)

    def _reason_to_close(self, stream: ClientStream, now_s: float) -> str | None:
        """Returns why a connection waits for too long, or None if it does not.

        It does not if its head is complete but was not passed on yet, or if the socket
        holds bytes that the loop had no turn to read.
        """
        since = stream.waits_since
        if since is None or not stream.reading():
            return None
        began_at = stream.head_began_at
        if began_at is None:
            is_overdue = now_s - since > self._limits.idle_s(since)
        else:
            is_overdue = now_s - began_at > self._limits.header_s(since)
        if not is_overdue or stream.has_unread():
            return None
        return REASON_IDLE if began_at is None else REASON_SLOW_HEAD

    def _close(self, streams: list[ClientStream], reason: str) -> None:
        """Closes connections; one line tells of all of them."""
        first_since = min(item.waits_since or now() for item in streams)
        log(
            CONNECTIONS_CLOSED,
            reason=reason,
            count=len(streams),
            callers=[_caller_of(item) for item in streams[:MAX_CALLERS_LOGGED]],
            waited_s=round(now() - first_since, 3),
        )
        self._metrics.count(CLOSED, len(streams), reason=reason)
        for stream in streams:
            self.end_wait(stream)
            stream.close()


def _caller_of(stream: ClientStream) -> str:
    """Returns a caller's address, or a dash if the system no longer knows it."""
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "-"
    return f"{host}:{port}"
