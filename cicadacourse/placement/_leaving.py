"""Endpoints whose responses state that they are shutting down.

The registry may list such an endpoint as ready for many seconds: the store may be down,
or the endpoint may not report that it leaves. Leaving is final for a process, so each
instance sends it nothing more, and tells the other instances by a fact.
"""

from __future__ import annotations

from typing import Callable

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.logs import ENDPOINT_LEAVES, LEAVING_FORGOTTEN, LogEvent, log
from cicadacourse.metrics import declare
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

LEAVING_ENDPOINTS = declare(
    "leaving_endpoints", "Registered endpoints that stated that they are leaving."
)

ENDPOINT_LEAVING = "endpoint-leaving"
# Bounds the memory; the process that became known first is dropped.
MAX_LEAVING = 2000
# Longer than an endpoint serves on after it has stated that it leaves.
FACT_KINDS.register(ENDPOINT_LEAVING)(
    FactKind(lifetime_s=600.0, max_facts=MAX_LEAVING, is_latest_only=True)
)


class LeavingEndpoints:
    """Knows the processes that leave, by the responses of any instance.

    :param on_change: called with each process that becomes known.
    """

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        self._app = app
        self._catalog_service: CatalogService = app.get("catalog")
        self._evidence: Evidence = app.get("evidence")
        self._on_change = on_change
        # A dict keeps the order in which the processes became known.
        self._process_keys: dict[str, None] = {}
        self._evidence.subscribe(ENDPOINT_LEAVING, self._apply)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    def __len__(self) -> int:
        """Returns how many processes are known to leave."""
        return len(self._process_keys)

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint's process leaves."""
        return endpoint.process_key in self._process_keys

    def add(self, endpoint: Endpoint) -> None:
        """Records that a response of an endpoint states that it leaves.

        Other instances are told only if the start of its process is known: another
        process under the same id could not be told from it.
        """
        if endpoint in self:
            return
        if endpoint.started_ms is None:
            self._add(endpoint.process_key, "response", 0.0)
            return
        # All instances publish the same fact about one process.
        fact_id = hashing.score(str(endpoint.started_ms), endpoint.id) >> 1
        self._evidence.publish(ENDPOINT_LEAVING, endpoint.process_key, id=fact_id)

    def _apply(self, fact: Fact, is_own: bool) -> None:
        """Puts an observation in force, whoever made it."""
        if fact.key not in self._process_keys:
            source = "response" if is_own else "peers"
            self._add(fact.key, source, now() - fact.observed_at)

    def _add(self, process_key: str, source: str, age_s: float) -> None:
        self._process_keys[process_key] = None
        if len(self._process_keys) > MAX_LEAVING:
            self._forget(next(iter(self._process_keys)), "memory")
        _log(ENDPOINT_LEAVES, process_key, source=source, age_s=round(age_s, 3))
        self._update_metric()
        self._on_change()

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        """Forgets a process that has ended; one that lost its entry may be running."""
        if not self._process_keys:
            return
        if self._catalog_service.registry.has_ended(endpoint):
            self._forget(endpoint.process_key, "entry_changed")
        self._update_metric()

    def _forget(self, process_key: str, reason: str) -> None:
        if process_key in self._process_keys:
            del self._process_keys[process_key]
            _log(LEAVING_FORGOTTEN, process_key, reason=reason)

    def _update_metric(self) -> None:
        registered = self._catalog_service.registry.all()
        count = sum(item in self for item in registered)
        self._app.metrics.set(LEAVING_ENDPOINTS, count)


def _log(event: LogEvent, process_key: str, **fields: object) -> None:
    """Logs an event of one process."""
    endpoint_id, _, started_ms = process_key.rpartition("@")
    log(event, endpoint=endpoint_id, started_ms=int(started_ms), **fields)
