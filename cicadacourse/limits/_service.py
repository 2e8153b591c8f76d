"""The limits that endpoints name, kept by all instances together.

An endpoint in need names in its responses the requests per second that it takes from
all instances together. Each instance learns that from its own responses and from the
other instances' evidence, and sends a request to such an endpoint only with a permit
of the shared rate.
"""

from __future__ import annotations

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.events import ENDPOINT_CHANGED
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.exchange import ResponseHead
from cicadacourse.limits._messages import Permit
from cicadacourse.limits._permits import Permits
from cicadacourse.logs import ENDPOINT_LIMIT_CHANGED, ENDPOINT_LIMIT_REFUSED, log
from cicadacourse.metrics import declare
from cicadacourse.util.clock import now

LIMITED_ENDPOINTS = declare(
    "limited_endpoints", "Endpoints that name a limit on the requests they take."
)

ENDPOINT_LIMIT = "endpoint-limit"
# Bounds the memory; the limit that became known first is dropped.
MAX_LIMITS = 2000
# An endpoint names its limit in each response, so its observation is renewed long
# before it expires.
FACT_KINDS.register(ENDPOINT_LIMIT)(
    FactKind(lifetime_s=600.0, max_facts=MAX_LIMITS, is_latest_only=True)
)
RENEWAL_S = 300.0
# The lowest rate, in requests per second: one request in a while shows whether an
# endpoint that takes none still names that limit.
MIN_RATE = 0.1
# The value of a fact that an endpoint names no limit any more.
NO_LIMIT = -1.0


@SERVICES.register("limits")
class EndpointLimits(Service):
    """Knows the limits of endpoints, in requests per second, and asks for permits."""

    name = "limits"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._evidence: Evidence = app.get("evidence")
        self._permits: Permits = app.get("permits")
        self._limit_by_key: dict[str, float] = {}
        self._confirmed_at_by_key: dict[str, float] = {}
        self._available_at_by_key: dict[str, float] = {}
        self._evidence.subscribe(ENDPOINT_LIMIT, self._apply)
        app.events.connect(ENDPOINT_CHANGED, self._forget_former_process)

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
        key = endpoint.process_key
        known = self._limit_by_key.get(key)
        limit = head.request_limit
        if known is None and limit is None:
            return
        confirmed_at = self._confirmed_at_by_key.get(key, float("-inf"))
        is_looser = known is not None and (limit is None or limit > known)
        if is_looser and sent_at <= confirmed_at:
            return
        self._confirmed_at_by_key[key] = now()
        if limit != known or self._is_due_for_renewal(key):
            value = NO_LIMIT if limit is None else limit
            self._evidence.publish(ENDPOINT_LIMIT, key, value)

    @property
    def has_any(self) -> bool:
        """Whether any endpoint names a limit."""
        return bool(self._limit_by_key)

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Returns the requests per second that an endpoint takes, or None."""
        if not self._limit_by_key:
            return None
        return self._limit_by_key.get(endpoint.process_key)

    def available_at(self, endpoint: Endpoint) -> float:
        """Returns from when on a permit for an endpoint is worth asking for.

        :returns: loop time in seconds; in the past if a permit may be free now.
        """
        if self.limit_of(endpoint) is None:
            return float("-inf")
        return self._available_at_by_key.get(endpoint.process_key, float("-inf"))

    async def acquire(self, endpoint: Endpoint, max_wait_s: float) -> Permit:
        """Asks for a permit to send one request to an endpoint.

        :param max_wait_s: for how long from now the permit may be reserved at most.
        """
        limit = self.limit_of(endpoint)
        if limit is None:
            return Permit(is_granted=True, wait_s=0.0)
        key = endpoint.process_key
        permit = await self._permits.acquire(
            f"{ENDPOINT_LIMIT} {key}", max(MIN_RATE, limit), max_wait_s
        )
        if not permit.is_granted:
            self._available_at_by_key[key] = now() + permit.wait_s
        return permit

    def _is_due_for_renewal(self, key: str) -> bool:
        facts = self._evidence.find(ENDPOINT_LIMIT, key)
        return not facts or now() - facts[0].observed_at >= RENEWAL_S

    def _apply(self, fact: Fact, is_own: bool) -> None:
        """Puts an observation in force, whoever made it."""
        known = self._limit_by_key.get(fact.key)
        limit = None if fact.value < 0 else fact.value
        if limit == known:
            return
        if limit is None:
            self._forget(fact.key)
        else:
            self._limit_by_key[fact.key] = limit
            self._drop_oldest_limit()
        log(
            ENDPOINT_LIMIT_CHANGED,
            endpoint=fact.key.partition("@")[0],
            limit=limit,
            source="response" if is_own else "peers",
            age_s=round(now() - fact.observed_at, 3),
        )
        self.app.metrics.set(LIMITED_ENDPOINTS, len(self._limit_by_key))

    def _drop_oldest_limit(self) -> None:
        if len(self._limit_by_key) > MAX_LIMITS:
            self._forget(next(iter(self._limit_by_key)))

    def _forget_former_process(self, endpoint: Endpoint) -> None:
        current = self.app.get("catalog").registry.find(endpoint.id)
        if current is None or not current.is_same_process(endpoint):
            self._forget(endpoint.process_key)
            self.app.metrics.set(LIMITED_ENDPOINTS, len(self._limit_by_key))

    def _forget(self, key: str) -> None:
        self._limit_by_key.pop(key, None)
        self._available_at_by_key.pop(key, None)
        self._confirmed_at_by_key.pop(key, None)
