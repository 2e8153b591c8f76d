"""Admission: resolves a request's route, organisation and timeouts on arrival."""

from __future__ import annotations

import random

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.catalog import (
    CallerLimits,
    Catalog,
    ConfigurationFreshness,
    Organisation,
    Pool,
    Route,
    RouteKind,
    find_allowed_regions,
)
from cicadacourse.eligibility import AllowedRegions
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.placement import AdmissionTerms, PlacementRequest
from cicadacourse.quarantine import RequestKeys, make_digest

# Callers abandon a stream that is idle for this many seconds, this many latency
# objectives, or this many inter-token gap objectives, whichever is longest.
CALLER_IDLE_TIMEOUT_S = 2.0
CALLER_IDLE_TIMEOUT_OBJECTIVES = 4
CALLER_IDLE_TIMEOUT_GAPS = 8
# An instance also tries another endpoint after this share of the caller's idle timeout,
# so that the caller still waits when the other endpoint responds.
IDLE_TIMEOUT_SHARE = 0.5
# An endpoint that takes this many times the estimated time to the first event may have
# failed.
ESTIMATE_TIMEOUT_FACTOR = 2.0
# An idempotent call without a response after this many latency objectives is also sent
# to another endpoint.
CALL_TIMEOUT_OBJECTIVES = 2.2
# Endpoints may be silent for a second or so and go on.
SHORT_SILENCE_S = 1.6
# Share of the time left that a silence may last, as the rest of a response takes time.
MAX_SILENCE_SHARE = 0.5
# Time for connecting and for what the estimate of the first event omits.
RESPONSE_MARGIN_S = 0.2
# Share of the remaining time that a request may wait for a placement. A longer wait
# leaves too little time to serve it.
MAX_WAIT_SHARE = 0.5
TOKENS_BY_SIZE_CLASS = (("up_to_10k", 10_000), ("up_to_100k", 100_000))
LARGEST_SIZE_CLASS = "over_100k"
# In most cases an instance receives its first configuration within this time of its
# start.
RETRY_AFTER_NOT_READY_S = 1.5
# Most instances have the newest configuration, so another one can decide at once.
RETRY_AFTER_SUPERSEDED_S = 0.3
# Other instances accept the request at once.
RETRY_AFTER_LEAVING_S = 0.1
REASON_SUPERSEDED = "configuration_superseded"
# The errors by which a configuration denies a request for good.
DENIALS = frozenset(
    {
        ErrorKind.UNKNOWN_ROUTE,
        ErrorKind.UNKNOWN_KEY,
        ErrorKind.TOO_LARGE,
        ErrorKind.HEADERS_TOO_LARGE,
    }
)


@attrs.frozen
class AdmittedRequest:
    """An admitted request with its route, organisation and deadline.

    :param organisation: the owner of the request's key, or None without a known key.
    :param deadline: when the whole response is due, loop time in seconds.
    :param catalog_version: the version of the configuration that it was admitted under.
    :param pools: the pools of its route in that configuration.
    :ivar keys: the same whenever and wherever the caller sends the request again.
    """

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    deadline: float
    catalog_version: int
    pools: tuple[Pool, ...] = ()
    keys: RequestKeys = attrs.field(init=False)

    @keys.default
    def _make_keys(self) -> RequestKeys:
        parts = self.prompt.shared_part_ids if self.prompt else ()
        organisation = self.organisation.name if self.organisation else None
        return RequestKeys(parts, make_digest(self.request, organisation))

    @property
    def prompt(self) -> Prompt | None:
        """The prompt's model and token counts, None if the caller states none."""
        return self.request.prompt

    @property
    def priority(self) -> int:
        """The organisation's priority if it has one, else the route's; 0 is highest."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def regions(self) -> AllowedRegions:
        """The regions that may serve the request; None if all may."""
        return find_allowed_regions(self.route, self.organisation)

    def hedging_delay_s(self, time_left_s: float, expected_s: float = 0.0) -> float:
        """Returns after how many seconds without data another endpoint is tried too.

        :param time_left_s: seconds until the deadline.
        :param expected_s: the estimated seconds to the first event, 0 after it.
        """
        if not self.is_stream:
            return min(time_left_s, CALL_TIMEOUT_OBJECTIVES * self.route.target_s)
        usual_s = IDLE_TIMEOUT_SHARE * self.caller_idle_timeout_s
        longest_s = max(usual_s, ESTIMATE_TIMEOUT_FACTOR * expected_s)
        return min(time_left_s, self.caller_idle_timeout_s, longest_s)

    def late_hedging_delay_s(self, time_left_s: float, expected_s: float) -> float:
        """Returns after how many seconds without data another one is the last hope.

        A silence that has lasted so long is no short one, and another endpoint can
        still respond before the caller abandons a stream.

        :param time_left_s: seconds until the deadline.
        :param expected_s: the estimated seconds to the first event.
        """
        late_s = min(SHORT_SILENCE_S, MAX_SILENCE_SHARE * time_left_s)
        if self.is_stream:
            needed_s = RESPONSE_MARGIN_S + ESTIMATE_TIMEOUT_FACTOR * expected_s
            late_s = min(late_s, self.caller_idle_timeout_s - needed_s)
        return max(self.hedging_delay_s(time_left_s, expected_s), late_s)

    @property
    def caller_idle_timeout_s(self) -> float:
        """After how many seconds without an event the caller abandons a stream."""
        return max(
            CALLER_IDLE_TIMEOUT_S,
            CALLER_IDLE_TIMEOUT_OBJECTIVES * self.route.target_s,
            CALLER_IDLE_TIMEOUT_GAPS * (self.route.gap_target_s or 0.0),
        )

    def _time_left_s(
        self, now_s: float, last_event_at: float | None, has_begun: bool
    ) -> float:
        """Returns the seconds until a response, or the next event, comes too late.

        A caller that has not left after its idle timeout is one that waits for longer,
        and what has begun is worth a try while its caller is there.
        """
        left_s = self.deadline - now_s
        if not self.is_stream or has_begun:
            return left_s
        since = self.request.arrived if last_event_at is None else last_event_at
        idle_left_s = since + self.caller_idle_timeout_s - now_s
        return min(left_s, idle_left_s) if idle_left_s > 0 else left_s

    def placement_request(
        self,
        pool: str,
        now_s: float,
        avoided_ids: frozenset[str],
        last_event_at: float | None = None,
        has_begun: bool = False,
        may_risk_refusal: bool = True,
    ) -> PlacementRequest:
        """Returns the placement request of the next attempt.

        :param pool: the pool's name.
        :param now_s: the present, loop time in seconds.
        :param avoided_ids: ids of the endpoints that have failed this request, or at
            which it is in progress.
        :param last_event_at: when the caller was sent the last event of a stream, loop
            time in seconds, or None.
        :param has_begun: whether a refusal would lose what an attempt has done.
        :param may_risk_refusal: whether a refusal would leave it another try.
        """
        prompt = self.prompt
        return PlacementRequest(
            request_id=self.request.id,
            pool=pool,
            priority=self.priority,
            target_s=max(0.0, self.request.arrived + self.route.target_s - now_s),
            wait_s=MAX_WAIT_SHARE * (self.deadline - now_s),
            time_left_s=self._time_left_s(now_s, last_event_at, has_begun),
            prompt_tokens=prompt.tokens if prompt else 0,
            output_tokens=prompt.max_output_tokens if prompt else 0,
            gap_s=self.route.gap_target_s or 0.0,
            organisation=self.organisation.name if self.organisation else "",
            avoided_ids=avoided_ids,
            terms=self._terms(pool),
            has_begun=has_begun,
            may_risk_refusal=may_risk_refusal,
            regions=self.regions,
        )

    def _terms(self, pool: str) -> AdmissionTerms:
        """Returns what stays in force for this request, whatever changes.

        :param pool: the name of the pool that it was admitted to.
        """
        return AdmissionTerms(
            host=self.request.host,
            target=self.request.target,
            key=self.request.key,
            organisation=self.organisation,
            route=self.route,
            pool=next((item for item in self.pools if item.name == pool), None),
        )

    def choose_pool(self) -> str | None:
        """Returns a random pool of the route by weight, or None if it has no pools."""
        shares = self.route.shares
        if not shares:
            return None
        weights = [share.weight for share in shares]
        return random.choices(shares, weights)[0].pool


def admit(
    request: CallerRequest, catalog: Catalog | None, body_bytes: int | None = None
) -> Result[AdmittedRequest, Error]:
    """Resolves a request's route and organisation.

    :param catalog: the configuration in force, or None if none is known yet.
    :param body_bytes: the size of a body that was not read yet.
    :returns: the admitted request, or the error to respond with.
    """
    if catalog is None:
        detail = "no configuration is known yet"
        wait_s = RETRY_AFTER_NOT_READY_S
        return Failure(Error(ErrorKind.NOT_READY, detail, retry_after_s=wait_s))
    too_large = _check_size(request, catalog.limits, body_bytes)
    if too_large is not None:
        return Failure(too_large)
    route = catalog.find_route(request.host, request.target)
    if route is None:
        detail = f"no route for {request.host}{request.target:.80}"
        return Failure(Error(ErrorKind.UNKNOWN_ROUTE, detail))
    if not catalog.is_allowed(route, request.key):
        return Failure(Error(ErrorKind.UNKNOWN_KEY, "the key is not known"))
    limits_s = [route.timeout_s]
    if request.timeout_s is not None:
        limits_s.append(request.timeout_s)
    return Success(
        AdmittedRequest(
            request,
            route,
            organisation=catalog.find_organisation(request.key),
            deadline=request.arrived + min(limits_s),
            catalog_version=catalog.version,
            pools=catalog.find_pools(route),
        )
    )


def may_decide(
    result: Result[AdmittedRequest, Error],
    freshness: ConfigurationFreshness,
    now_s: float,
) -> bool:
    """Returns whether the configuration is recent enough for a result of :func:`admit`.

    :param now_s: the present, loop time in seconds.
    """
    match result:
        case Failure(error) if error.kind in DENIALS:
            return freshness.may_deny(now_s)
        case Success(_):
            return freshness.may_serve(now_s)
    return True


def superseded_error(freshness: ConfigurationFreshness) -> Error:
    """Returns the error of a request on which the configuration may not decide."""
    return Error(
        ErrorKind.NOT_READY,
        f"version {freshness.version} of the configuration may be out of date",
        reason=REASON_SUPERSEDED,
        retry_after_s=RETRY_AFTER_SUPERSEDED_S,
    )


def leaving_error() -> Error:
    """Returns the error of a request that came too late in this instance's shutdown."""
    detail = "this instance is leaving"
    return Error(ErrorKind.LEAVING, detail, retry_after_s=RETRY_AFTER_LEAVING_S)


def _check_size(
    request: CallerRequest, limits: CallerLimits, body_bytes: int | None
) -> Error | None:
    """Returns an error if the headers or the body exceed the limits, else None."""
    size = len(request.body) if body_bytes is None else body_bytes
    if request.header_bytes > limits.max_header_bytes:
        detail = f"the headers are larger than {limits.max_header_bytes} bytes"
        return Error(ErrorKind.HEADERS_TOO_LARGE, detail)
    if size > limits.max_body_bytes:
        detail = f"the body is larger than {limits.max_body_bytes} bytes"
        return Error(ErrorKind.TOO_LARGE, detail)
    return None


def size_class(prompt: Prompt | None) -> str:
    """Returns the metrics label of a prompt's size, ``none`` without a prompt.

    >>> size_class(Prompt("m", 45_000, 100))
    'up_to_100k'
    """
    if prompt is None:
        return "none"
    for label, limit in TOKENS_BY_SIZE_CLASS:
        if prompt.tokens <= limit:
            return label
    return LARGEST_SIZE_CLASS
