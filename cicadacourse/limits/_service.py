"""The limits of endpoints, kept by all instances together.

An endpoint in need names in its responses the requests per second that it takes from
all instances together. Each instance learns that from its own responses and from the
other instances' evidence, and sends a request to such an endpoint only with a permit
of the shared rate. A cold endpoint has the limit that its pool's configuration states.
"""

from __future__ import annotations

import attrs

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import (
    CatalogService,
    Endpoint,
    ProcessKey,
    ProcessMemory,
)
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.exchange import ResponseHead
from cicadacourse.limits._cold import ColdLimits
from cicadacourse.limits._messages import Permit
from cicadacourse.limits._permits import Permits
from cicadacourse.logs import ENDPOINT_LIMIT_CHANGED, ENDPOINT_LIMIT_REFUSED, log
from cicadacourse.metrics import declare
from cicadacourse.util.clock import now

LIMITED_ENDPOINTS = declare(
    "limited_endpoints",
    "Registered endpoints that name a limit on the requests they take.",
)

ENDPOINT_LIMIT = "endpoint-limit"
# Bounds the memory.
MAX_LIMITS = 2000
# An endpoint names its limit in each response, so its observation is renewed long
# before it expires.
FACT_KINDS.register(ENDPOINT_LIMIT)(
    FactKind(
        lifetime_s=600.0,
        max_facts=MAX_LIMITS,
        is_latest_only=True,
        check_key=ProcessKey.parse,
    )
)
RENEWAL_S = 300.0
# The lowest rate, in requests per second: one request in a while shows whether an
# endpoint that takes none still names that limit.
MIN_RATE = 0.1
# The value of a fact that an endpoint names no limit any more.
NO_LIMIT = -1.0


@attrs.define
class _NamedLimit:
    """The limit of one process, in requests per second; loop times in seconds.

    :ivar confirmed_at: when a response to this instance named it last.
    :ivar available_at: from when on a permit is worth asking for.
    """

    limit: float
    confirmed_at: float = float("-inf")
    available_at: float = float("-inf")


@SERVICES.register("limits")
class EndpointLimits(Service):
    """Knows the limits of endpoints, in requests per second, and asks for permits."""

    name = "limits"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._evidence: Evidence = app.get("evidence")
        self._permits: Permits = app.get("permits")
        catalog_service: CatalogService = app.get("catalog")
        self._registry = catalog_service.registry
        self._cold = ColdLimits(app)
        self._limits: ProcessMemory[_NamedLimit] = ProcessMemory(
            self._registry, MAX_LIMITS, lambda *_: None
        )
        self._evidence.subscribe(ENDPOINT_LIMIT, self._apply)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)

    def observe(self, endpoint: Endpoint, head: ResponseHead, sent_at: float) -> None:
        """Records the limit that a response names, or that it names none.

        A response to a request that was sent before the last observation may be older
        than that; it doesn't raise or end a limit.

        :param sent_at: when the request was sent, loop time in seconds.
        """
        if head.is_misdirected:
            return
        if head.is_limit_malformed:
            log(ENDPOINT_LIMIT_REFUSED, endpoint=endpoint.id)
            return
        known = self._limits.find(endpoint)
        limit = head.request_limit
        if known is None and limit is None:
            return
        if known is not None and sent_at <= known.confirmed_at:
            if limit is None or limit > known.limit:
                return
        key = str(self._limits.process_of(endpoint))
        if known is None or limit != known.limit or self._is_due_for_renewal(key):
            value = NO_LIMIT if limit is None else limit
            self._evidence.publish(ENDPOINT_LIMIT, key, value)
        confirmed = self._limits.find(endpoint)
        if confirmed is not None:
            confirmed.confirmed_at = now()

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has a limit."""
        return bool(self._limits) or self._cold.has_any

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Returns the requests per second that an endpoint takes, or None.

        The lowest one counts if it names a limit and is cold.
        """
        named = self._limits.find(endpoint)
        limits = [None if named is None else named.limit, self._cold.find(endpoint)]
        return min((item for item in limits if item is not None), default=None)

    def available_at(self, endpoint: Endpoint) -> float:
        """Returns from when on a permit for an endpoint is worth asking for.

        :returns: loop time in seconds; in the past if a permit may be free now.
        """
        named = self._limits.find(endpoint)
        named_at = float("-inf") if named is None else named.available_at
        return max(named_at, self._cold.available_at(endpoint))

    async def acquire(self, endpoint: Endpoint, max_wait_s: float) -> Permit:
        """Asks for a permit to send one request to an endpoint.

        :param max_wait_s: for how long from now the permit may be reserved at most.
        """
        limit = self.limit_of(endpoint)
        if limit is None:
            return Permit(is_granted=True, wait_s=0.0)
        key = f"{ENDPOINT_LIMIT} {self._limits.process_of(endpoint)}"
        permit = await self._permits.acquire(key, max(MIN_RATE, limit), max_wait_s)
        if not permit.is_granted:
            self._record_denied(endpoint, now() + permit.wait_s)
        return permit

    def _record_denied(self, endpoint: Endpoint, available_at: float) -> None:
        """Records from when on a permit for an endpoint is worth asking for."""
        named = self._limits.find(endpoint)
        if named is not None:
            named.available_at = available_at
        else:
            self._cold.record_denied(endpoint, available_at)

    def _is_due_for_renewal(self, key: str) -> bool:
        facts = self._evidence.find(ENDPOINT_LIMIT, key)
        return not facts or now() - facts[0].observed_at >= RENEWAL_S

    def _apply(self, fact: Fact, is_own: bool) -> None:
        """Puts an observation in force, whoever made it."""
        process = ProcessKey.parse(fact.key)
        known = self._limits.get(process)
        limit = None if fact.value < 0 else fact.value
        if limit == (None if known is None else known.limit):
            return
        if limit is None:
            self._limits.pop(process)
        elif known is None:
            self._limits.put(process, _NamedLimit(limit))
        else:
            known.limit = limit
        log(
            ENDPOINT_LIMIT_CHANGED,
            endpoint=process.endpoint_id,
            limit=limit,
            source="response" if is_own else "peers",
            age_s=round(now() - fact.observed_at, 3),
        )
        self._update_metric()

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        """Forgets a process of unknown start that may have ended."""
        if endpoint in self._limits:
            self._limits.pop_ended(endpoint)
            self._update_metric()

    def _update_metric(self) -> None:
        count = sum(item in self._limits for item in self._registry.all())
        self.app.metrics.set(LIMITED_ENDPOINTS, count)
