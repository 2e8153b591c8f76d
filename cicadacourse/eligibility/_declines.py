"""Endpoints that want no requests from this instance, for a time or for good.

An endpoint in need states with a refusal for how long it wants no other request from
the instance that sent this one. That concerns one process of the endpoint and only this
instance; other instances are told, and use the endpoint last. An endpoint that leaves
wants no more requests from any instance.
"""

from __future__ import annotations

import asyncio
import random
from typing import Callable

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint, ProcessKey, ProcessMemory
from cicadacourse.eligibility._leaving import LeavingEndpoints
from cicadacourse.eligibility._model import (
    NEVER,
    RULES,
    AllowedRegions,
    Obstacle,
    Rule,
)
from cicadacourse.eligibility._peer_declines import PeerDeclines
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import ResponseHead
from cicadacourse.logs import (
    DECLINE_FORGOTTEN,
    ENDPOINT_ACCEPTS,
    ENDPOINT_DECLINES,
    ENDPOINT_RETRY_AFTER_REFUSED,
    log,
)
from cicadacourse.metrics import declare
from cicadacourse.util.clock import now

DECLINING_ENDPOINTS = declare(
    "declining_endpoints",
    "Registered endpoints that want no requests from this instance for a time.",
)

REASON_LEAVING = "endpoint_leaving"
REASON_DECLINED = "endpoint_declined"
# Added to timers, which may fire early by the clock's resolution.
TIMER_SLACK_S = 0.002
# Instances that were refused at the same time come back spread over this share of the
# time, so that an endpoint in need does not get all that they hold back at once.
RETURN_SPREAD_SHARE = 0.1
MAX_RETURN_SPREAD_S = 0.5
# Bounds the memory.
MAX_DECLINES = 2000


@attrs.frozen
class _Decline:
    """The time until which a process wants no requests, loop time in seconds."""

    until: float
    timer: asyncio.TimerHandle


@RULES.register("declines")
class Declines(Rule):
    """Knows which processes of endpoints decline requests, and until when."""

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        super().__init__(app, on_change)
        self._registry = app.get("catalog").registry
        self._declines: ProcessMemory[_Decline] = ProcessMemory(
            self._registry,
            MAX_DECLINES,
            lambda process, decline: _forget_early(process, decline, "memory"),
        )
        self._leaving = LeavingEndpoints(app, on_change)
        self._peer_declines = PeerDeclines(app)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    def observe(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Records what a response of an endpoint says about further requests.

        A response of another endpoint at its address says nothing about it.
        """
        if head.is_misdirected:
            return
        if head.is_retry_after_malformed:
            log(ENDPOINT_RETRY_AFTER_REFUSED, endpoint=endpoint.id)
        if head.retry_after_s:
            self._decline(endpoint, head.retry_after_s)
            self._peer_declines.tell(endpoint, head.retry_after_s)
        if head.is_leaving:
            self._leaving.add(endpoint)

    def may_bind(self, regions: AllowedRegions) -> bool:
        """Returns whether any process is known that declines requests."""
        return bool(self._declines or self._leaving)

    def find_obstacle(
        self, endpoint: Endpoint, regions: AllowedRegions
    ) -> Obstacle | None:
        """Returns an obstacle for each endpoint that leaves or declines requests."""
        until = self.returns_at(endpoint)
        if until <= now():
            return None
        if until == NEVER:
            return Obstacle(REASON_LEAVING, "the endpoint leaves")
        detail = "the endpoint wants no requests from this instance"
        return Obstacle(REASON_DECLINED, detail, until)

    def accepts(self, endpoint: Endpoint) -> bool:
        """Returns whether requests may be sent to an endpoint now."""
        return self.returns_at(endpoint) <= now()

    @property
    def are_any_in_need(self) -> bool:
        """Whether any endpoint is known that declines requests of any instance."""
        return self._peer_declines.has_any

    def is_in_need(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint declines requests of any instance now."""
        return endpoint in self._peer_declines

    def returns_at(self, endpoint: Endpoint) -> float:
        """Returns from when on an endpoint accepts requests, loop time in seconds.

        :returns: minus infinity if it has not declined any, infinity if it leaves.
        """
        if not self.may_bind(None):
            return float("-inf")
        if endpoint in self._leaving:
            return NEVER
        decline = self._declines.find(endpoint)
        return float("-inf") if decline is None else decline.until

    def _decline(self, endpoint: Endpoint, for_s: float) -> None:
        """Sends nothing to an endpoint for a time; never shortens an earlier one."""
        spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * for_s)
        for_s += random.uniform(0.0, spread_s)
        until = now() + for_s
        if until <= self.returns_at(endpoint):
            return
        process = self._declines.process_of(endpoint)
        self._cancel_timer(process)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(for_s + TIMER_SLACK_S, self._end, process)
        self._declines.put(process, _Decline(until, timer))
        log(
            ENDPOINT_DECLINES,
            endpoint=process.endpoint_id,
            started_ms=process.started_ms,
            for_s=round(for_s, 3),
        )
        self._report_change()

    def _cancel_timer(self, process: ProcessKey) -> None:
        """Cancels the timer of an earlier time that the process has stated."""
        decline = self._declines.get(process)
        if decline is not None:
            decline.timer.cancel()

    def _end(self, process: ProcessKey) -> None:
        self._declines.pop(process)
        log(ENDPOINT_ACCEPTS, endpoint=process.endpoint_id)
        self._report_change()

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        """Forgets a process of unknown start that may have ended."""
        if endpoint not in self._declines:
            return
        decline = self._declines.pop_ended(endpoint)
        if decline is not None:
            _forget_early(endpoint.process, decline, "entry_changed")
        self._report_change()

    def _report_change(self) -> None:
        count = sum(item in self._declines for item in self._registry.all())
        self.app.metrics.set(DECLINING_ENDPOINTS, count)
        self.on_change()


def _forget_early(process: ProcessKey, decline: _Decline, reason: str) -> None:
    """Ends what is known of a process before the time that it has stated."""
    decline.timer.cancel()
    log(
        DECLINE_FORGOTTEN,
        endpoint=process.endpoint_id,
        started_ms=process.started_ms,
        left_s=round(decline.until - now(), 3),
        reason=reason,
    )
