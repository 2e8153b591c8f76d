"""Connects to an endpoint directly and at another instance, whichever is faster."""

from __future__ import annotations

import asyncio

from cicadacourse.application import Application
from cicadacourse.logs import EXCHANGE_PROXIED, log
from cicadacourse.metrics import declare
from cicadacourse.proxy._ways import ConnectAttempt, OpenConnection, Ways
from cicadacourse.reachability import Reachability
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

PROXIED = declare(
    "exchanges_proxied_total",
    "Exchanges with endpoints that went through another instance, by reason.",
)

# How long a direct connection is awaited before a peer is asked beside it. That is the
# time limit of the first attempt to connect.
HEAD_START_S = 0.08

REASON_LOST = "lost"
REASON_MAY_BE_LOST = "may_be_lost"
REASON_SLOW = "slow"
REASON_FAILED = "failed"

_Task = asyncio.Task[OpenConnection | None]


class ConnectionRace:
    """Makes the connection of each exchange; the slower ways are given up.

    :param tasks: the tasks of the service.
    """

    def __init__(self, app: Application, ways: Ways, tasks: Tasks) -> None:
        self._app = app
        self._ways = ways
        self._tasks = tasks
        self._reachability: Reachability = app.get("reachability")
        # The endpoints to which a direct connection is awaited in the background.
        self._late_ids: set[str] = set()

    async def run(self, attempt: ConnectAttempt) -> OpenConnection | None:
        """Returns the first connection, or None if the endpoint can't be reached."""
        endpoint = attempt.request.endpoint
        is_lost = self._reachability.is_lost(endpoint)
        may_be_lost = is_lost or self._reachability.may_be_lost(endpoint)
        may_use_kept = is_lost or not may_be_lost
        if may_use_kept and self._ways.has_kept_connection(attempt):
            return await self._ways.connect_directly(attempt, False)
        tasks: list[_Task] = []
        chosen: OpenConnection | None = None
        try:
            chosen = await self._choose(attempt, tasks, is_lost, may_be_lost)
            return chosen
        finally:
            for task in tasks:
                self._give_up(task, attempt, chosen)

    async def _choose(
        self,
        attempt: ConnectAttempt,
        tasks: list[_Task],
        is_lost: bool,
        may_be_lost: bool,
    ) -> OpenConnection | None:
        """Starts the tasks that connect, and returns the first connection."""
        reason = REASON_LOST if is_lost else REASON_MAY_BE_LOST
        peers = self._ways.peers_for(attempt) if may_be_lost else []
        if not (is_lost and peers):
            needs_new = may_be_lost or attempt.request.needs_new_connection
            direct = self._ways.connect_directly(attempt, needs_new)
            tasks.append(self._tasks.start(direct))
        if not may_be_lost:
            await asyncio.wait(tasks, timeout=HEAD_START_S)
            if tasks[0].done() and (opened := tasks[0].result()) is not None:
                return opened
            reason = REASON_FAILED if tasks[0].done() else REASON_SLOW
            peers = self._ways.peers_for(attempt)
        if peers:
            at_peers = self._ways.connect_at_peers(attempt, peers)
            tasks.append(self._tasks.start(at_peers))
        opened = await _first(tasks)
        if opened is not None and opened.connection.via is not None:
            self._report_proxied(attempt, opened.connection.via, reason)
        return opened

    def _report_proxied(self, attempt: ConnectAttempt, peer: str, reason: str) -> None:
        self._app.metrics.count(PROXIED, reason=reason)
        log(
            EXCHANGE_PROXIED,
            request=attempt.request.caller.id,
            endpoint=attempt.request.endpoint.id,
            peer=peer,
            reason=reason,
            took_s=round(now() - attempt.started, 4),
        )

    def _give_up(
        self, task: _Task, attempt: ConnectAttempt, chosen: OpenConnection | None
    ) -> None:
        """Closes what a task has opened or opens, unless it is chosen.

        If a peer was faster, one direct connection to the endpoint is awaited in the
        background, as its outcome shows whether there is a link.
        """
        if task.done():
            opened = None if task.cancelled() else task.result()
            if opened is not None and opened is not chosen:
                self._tasks.start(opened.contexts.aclose())
            return
        endpoint_id = attempt.request.endpoint.id
        is_at_peer = chosen is not None and chosen.connection.via is not None
        if is_at_peer and endpoint_id not in self._late_ids:
            self._late_ids.add(endpoint_id)
            self._tasks.start(self._close_late(task, endpoint_id))
        else:
            task.cancel()

    async def _close_late(self, task: _Task, endpoint_id: str) -> None:
        """Closes a connection that comes too late."""
        try:
            opened = await task
            if opened is not None:
                await opened.contexts.aclose()
        finally:
            self._late_ids.discard(endpoint_id)


async def _first(tasks: list[_Task]) -> OpenConnection | None:
    """Returns the connection of the first task that has one, or None."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        # Of two connections, the direct one is preferred.
        for task in tasks:
            if task in done and (opened := task.result()) is not None:
                return opened
    return None
