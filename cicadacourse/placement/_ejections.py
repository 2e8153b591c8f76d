"""Ejects endpoints that fail and readmits them; logs and counts both."""

from __future__ import annotations

import asyncio
from typing import Callable, Sequence

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.eligibility import TIMER_SLACK_S
from cicadacourse.events import LINKS_CHANGED
from cicadacourse.logs import ENDPOINT_EJECTED, ENDPOINT_READMITTED, log
from cicadacourse.metrics import declare
from cicadacourse.placement._health import EndpointHealth
from cicadacourse.reachability import Reachability
from cicadacourse.util.clock import now

EJECTIONS = declare("endpoints_set_aside_total", "Endpoints ejected, by reason.")


class Ejections:
    """Ejects endpoints by the failures that are reported.

    :param on_readmitted: called once the ejection of an endpoint is over.
    :ivar health: the failures of the endpoints.
    """

    def __init__(self, app: Application, on_readmitted: Callable[[], None]) -> None:
        self.health = EndpointHealth()
        self._app = app
        self._catalog_service: CatalogService = app.get("catalog")
        self._on_readmitted = on_readmitted
        self._lost_ids: set[str] = set()
        app.events.connect(LINKS_CHANGED, self._links_changed)

    def select_usable(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Returns endpoints of a pool without lost links and without ejected ones.

        At most the largest share that may be left out is.
        """
        all_ids = [item.id for item in endpoints]
        lost_ids = self._lost_link_ids(endpoints)
        ids = self.health.usable_ids(all_ids, now(), lost_ids)
        return [item for item in endpoints if item.id in ids]

    def forget_former_process(self, endpoint: Endpoint) -> None:
        """Removes the failures of an endpoint that was removed or has restarted."""
        current = self._catalog_service.registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self.health.forget(endpoint.id)
            self._lost_ids.discard(endpoint.id)

    def report_transport_failure(self, endpoint_id: str, reason: str) -> None:
        """Records a failed connection, an aborted exchange or a missing response.

        An endpoint that other instances reach has not failed: the link to it is lost.
        """
        if self._is_link_lost(endpoint_id):
            return
        for_s = self.health.record_transport_failure(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, reason)

    def report_ended(self, endpoint: Endpoint) -> None:
        """Records that the process of an endpoint has ended."""
        current = self._catalog_service.registry.find(endpoint.id)
        if current is not None and current.is_same_process(endpoint):
            for_s = self.health.record_ended(endpoint.id, now())
            self._record_ejection(endpoint.id, for_s, "ended")

    def report_error_response(self, endpoint_id: str) -> None:
        """Records that an endpoint responded with an error."""
        for_s = self.health.record_error_response(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, "error_answers")

    def report_refusal(self, endpoint_id: str) -> None:
        """Records that an endpoint refused a request."""
        for_s = self.health.record_refusal(endpoint_id, now())
        self._record_ejection(endpoint_id, for_s, "refusal")

    def _links_changed(self, endpoint: Endpoint | None) -> None:
        """Forgets the failures of an endpoint once its link is known to be lost."""
        if endpoint is None:
            return
        was_lost = endpoint.id in self._lost_ids
        self._lost_ids.discard(endpoint.id)
        if self._is_link_lost(endpoint.id):
            self._lost_ids.add(endpoint.id)
            if not was_lost:
                self.health.forget(endpoint.id)

    def _lost_link_ids(self, endpoints: Sequence[Endpoint]) -> set[str]:
        reachability: Reachability | None = self._app.find("reachability")
        if reachability is None:
            return set()
        return {item.id for item in reachability.select_lost(endpoints)}

    def _is_link_lost(self, endpoint_id: str) -> bool:
        reachability: Reachability | None = self._app.find("reachability")
        endpoint = self._catalog_service.registry.find(endpoint_id)
        if reachability is None or endpoint is None:
            return False
        return reachability.is_lost(endpoint)

    def _record_ejection(self, endpoint_id: str, for_s: float, reason: str) -> None:
        if for_s:
            self._app.metrics.count(EJECTIONS, reason=reason)
            log(ENDPOINT_EJECTED, endpoint=endpoint_id, for_s=for_s, reason=reason)
            loop = asyncio.get_running_loop()
            loop.call_later(for_s + TIMER_SLACK_S, self._check_readmission, endpoint_id)

    def _check_readmission(self, endpoint_id: str) -> None:
        """Offers an endpoint to queued requests once its ejection is over."""
        if self._catalog_service.registry.find(endpoint_id) is None:
            return
        if not self.health.is_ejected(endpoint_id, now()):
            log(ENDPOINT_READMITTED, endpoint=endpoint_id)
            self._on_readmitted()
