"""Records the limits that endpoints name in their responses."""

from __future__ import annotations

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.exchange import ResponseHead
from cicadacourse.logs import ENDPOINT_LIMIT_CHANGED, ENDPOINT_LIMIT_REFUSED, log
from cicadacourse.metrics import declare

LIMITED_ENDPOINTS = declare(
    "limited_endpoints", "Endpoints that name a limit on the requests they take."
)


@SERVICES.register("limits")
class EndpointLimits(Service):
    """Keeps the newest limit of each endpoint, in requests per second."""

    name = "limits"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._limit_by_id: dict[str, float] = {}
        app.events.connect(ENDPOINT_CHANGED, self._forget_former_process)

    def observe(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Records the limit that a response names, or that it names none."""
        if head.is_misdirected:
            return
        if head.is_limit_malformed:
            log(ENDPOINT_LIMIT_REFUSED, endpoint=endpoint.id)
            return
        if head.request_limit == self._limit_by_id.get(endpoint.id):
            return
        if head.request_limit is None:
            del self._limit_by_id[endpoint.id]
        else:
            self._limit_by_id[endpoint.id] = head.request_limit
        log(
            ENDPOINT_LIMIT_CHANGED,
            endpoint=endpoint.id,
            limit=head.request_limit,
            source="response",
            age_s=0.0,
        )
        self.app.metrics.set(LIMITED_ENDPOINTS, len(self._limit_by_id))

    def _forget_former_process(self, endpoint: Endpoint) -> None:
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self._limit_by_id.pop(endpoint.id, None)
