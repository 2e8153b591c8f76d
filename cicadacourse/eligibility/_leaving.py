"""Endpoints whose responses state that they are shutting down.

The registry may list such an endpoint as ready for many seconds: the store may be down,
or the endpoint may not report that it leaves. Leaving is final for a process, so each
instance sends it nothing more, and tells the other instances by a fact.
"""

from __future__ import annotations

from typing import Callable

from cicadacourse.application import Application
from cicadacourse.catalog import (
    CatalogService,
    Endpoint,
    ProcessKey,
    ProcessMemory,
)
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
    FactKind(
        lifetime_s=600.0,
        max_facts=MAX_LEAVING,
        is_latest_only=True,
        check_key=ProcessKey.parse,
    )
)


class LeavingEndpoints:
    """Knows the processes that leave, by the responses of any instance.

    :param on_change: called with each process that becomes known.
    """

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        self._app = app
        catalog_service: CatalogService = app.get("catalog")
        self._registry = catalog_service.registry
        self._evidence: Evidence = app.get("evidence")
        self._on_change = on_change
        self._processes: ProcessMemory[bool] = ProcessMemory(
            self._registry,
            MAX_LEAVING,
            lambda process, _: _log(LEAVING_FORGOTTEN, process, reason="memory"),
        )
        self._evidence.subscribe(ENDPOINT_LEAVING, self._apply)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    def __len__(self) -> int:
        """Returns how many processes are known to leave."""
        return len(self._processes)

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint's process leaves."""
        return endpoint in self._processes

    def add(self, endpoint: Endpoint) -> None:
        """Records that a response of an endpoint states that it leaves.

        Other instances are told only if the start of its process is known: another
        process under the same id could not be told from it.
        """
        if endpoint in self:
            return
        if endpoint.started_ms is None:
            self._add(endpoint.process, "response", 0.0)
            return
        # All instances publish the same fact about one process.
        fact_id = hashing.score(str(endpoint.started_ms), endpoint.id) >> 1
        self._evidence.publish(ENDPOINT_LEAVING, endpoint.process_key, id=fact_id)

    def _apply(self, fact: Fact, is_own: bool) -> None:
        """Puts an observation in force, whoever made it."""
        process = ProcessKey.parse(fact.key)
        if self._processes.get(process) is None:
            source = "response" if is_own else "peers"
            self._add(process, source, now() - fact.observed_at)

    def _add(self, process: ProcessKey, source: str, age_s: float) -> None:
        self._processes.put(process, True)
        _log(ENDPOINT_LEAVES, process, source=source, age_s=round(age_s, 3))
        self._update_metric()
        self._on_change()

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        """Forgets a process of unknown start that may have ended."""
        if endpoint not in self:
            return
        if self._processes.pop_ended(endpoint):
            _log(LEAVING_FORGOTTEN, endpoint.process, reason="entry_changed")
        self._update_metric()

    def _update_metric(self) -> None:
        count = sum(item in self for item in self._registry.all())
        self._app.metrics.set(LEAVING_ENDPOINTS, count)


def _log(event: LogEvent, process: ProcessKey, **fields: object) -> None:
    """Logs an event of one process."""
    log(event, endpoint=process.endpoint_id, started_ms=process.started_ms, **fields)
