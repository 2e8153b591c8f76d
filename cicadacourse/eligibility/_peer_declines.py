"""Endpoints that have declined requests of other instances for a time.

What such an endpoint states concerns only the instance that it has refused. But it is
in need and likely to refuse others as well, and each refusal costs a request one of its
tries. So other instances use it only if no other endpoint of its pool is free.

The expected load is a large fleet, each instance of which gets few requests, before a
pool most of whose endpoints are in need at the same time.
"""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint, ProcessKey, ProcessMemory
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.logs import ENDPOINT_IN_NEED, log
from cicadacourse.util.clock import now

ENDPOINT_DECLINES = "endpoint-declines"
# Bounds the memory.
MAX_PEER_DECLINES = 2000
# Endpoints state a few seconds at a time, and an instance that starts later learns the
# rest by refusals.
FACT_KINDS.register(ENDPOINT_DECLINES)(
    FactKind(
        lifetime_s=10.0,
        max_facts=MAX_PEER_DECLINES,
        is_latest_only=True,
        check_key=ProcessKey.parse,
    )
)
# A time is told again only if what is known covers less than this share of it: one
# instance that was refused is enough to warn the others.
KNOWN_SHARE = 0.5


class PeerDeclines:
    """Tells and learns until when endpoints decline requests of any instance."""

    def __init__(self, app: Application) -> None:
        self._evidence: Evidence = app.get("evidence")
        self._until: ProcessMemory[float] = ProcessMemory(
            app.get("catalog").registry, MAX_PEER_DECLINES, lambda *_: None
        )
        self._last_until = float("-inf")
        self._evidence.subscribe(ENDPOINT_DECLINES, self._apply)

    @property
    def has_any(self) -> bool:
        """Whether any endpoint declines requests of any instance now."""
        return now() < self._last_until

    def tell(self, endpoint: Endpoint, for_s: float) -> None:
        """Tells other instances that an endpoint declines requests for some seconds."""
        if self._left_s(endpoint) < KNOWN_SHARE * for_s:
            key = str(self._until.process_of(endpoint))
            self._evidence.publish(ENDPOINT_DECLINES, key, for_s)

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint declines requests of any instance now."""
        return self.has_any and self._left_s(endpoint) > 0.0

    def _left_s(self, endpoint: Endpoint) -> float:
        until = self._until.find(endpoint)
        return 0.0 if until is None else until - now()

    def _apply(self, fact: Fact, is_own: bool) -> None:
        """Puts an observation in force, whoever made it."""
        process = ProcessKey.parse(fact.key)
        until = fact.observed_at + fact.value
        self._until.put(process, max(until, self._until.get(process) or until))
        self._last_until = max(until, self._last_until)
        log(
            ENDPOINT_IN_NEED,
            endpoint=process.endpoint_id,
            started_ms=process.started_ms,
            for_s=round(until - now(), 3),
            source="response" if is_own else "peers",
        )
