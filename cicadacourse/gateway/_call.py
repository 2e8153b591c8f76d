"""What one request is entitled to, worked out once when it arrives."""

from __future__ import annotations

import random

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.catalog import CallerLimits, Catalog, Organisation, Route, RouteKind
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.placement import PlacementRequest

# Callers give up a stream after a silence of this long, or of this many objectives or
# pauses, whichever is longest; an instance acts at half of it.
CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_TARGETS = 4
CALLER_PATIENCE_GAPS = 8
PATIENCE_SHARE = 0.5
# A silence of this many times the estimate means that the endpoint has failed.
SURE_SHARE = 2.0
# A repeatable call that takes this many objectives is tried elsewhere.
CALL_PATIENCE_TARGETS = 2.2
# Of the time left; waiting longer leaves too little to be served in.
MAX_WAIT_SHARE = 0.5
TOKENS_BY_SIZE_CLASS = (("up_to_10k", 10_000), ("up_to_100k", 100_000))
LARGEST_SIZE_CLASS = "over_100k"
# A first configuration mostly comes within this time of a start.
RETRY_AFTER_NOT_READY_S = 1.5


@attrs.frozen
class Call:
    """A caller's request with its route, organisation and time limits.

    :param deadline: when the final answer is due, loop time in seconds.
    """

    request: CallerRequest
    route: Route
    organisation: Organisation | None
    deadline: float
    catalog_version: int

    @property
    def prompt(self) -> Prompt | None:
        """The prompt's size if an engine serves the request."""
        return self.request.prompt

    @property
    def priority(self) -> int:
        """The organisation's rank, else the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    def silence_limit_s(
        self, has_alternative: bool, time_left_s: float, expected_s: float = 0.0
    ) -> float:
        """Returns after how long a silence an attempt is given up.

        :param has_alternative: whether another endpoint may be tried.
        :param expected_s: the estimated time to the first event, 0 after it.
        """
        if not has_alternative:
            return time_left_s
        if not self.is_stream:
            return min(time_left_s, CALL_PATIENCE_TARGETS * self.route.target_s)
        usual_s = PATIENCE_SHARE * self.patience_s
        longest_s = max(usual_s, SURE_SHARE * expected_s)
        return min(time_left_s, self.patience_s, longest_s)

    @property
    def patience_s(self) -> float:
        """After how long a silence the caller gives up a stream."""
        return max(
            CALLER_PATIENCE_S,
            CALLER_PATIENCE_TARGETS * self.route.target_s,
            CALLER_PATIENCE_GAPS * (self.route.gap_target_s or 0.0),
        )

    def _time_left_s(self, at: float) -> float:
        """Returns how much later an answer, or a stream's first event, is of use."""
        left_s = self.deadline - at
        if not self.is_stream:
            return left_s
        return min(left_s, self.request.arrived + self.patience_s - at)

    def need(self, pool: str, at: float, avoided: frozenset[str]) -> PlacementRequest:
        """Returns what this request asks of a pool's endpoints now."""
        prompt = self.prompt
        return PlacementRequest(
            request_id=self.request.id,
            pool=pool,
            priority=self.priority,
            target_s=max(0.0, self.request.arrived + self.route.target_s - at),
            wait_s=MAX_WAIT_SHARE * (self.deadline - at),
            time_left_s=self._time_left_s(at),
            prompt_tokens=prompt.tokens if prompt else 0,
            output_tokens=prompt.max_output_tokens if prompt else 0,
            gap_s=self.route.gap_target_s or 0.0,
            organisation=self.organisation.name if self.organisation else "",
            avoided_ids=avoided,
        )

    def choose_pool(self) -> str | None:
        """Returns one of the route's pools by weight, or None if it has none."""
        shares = self.route.shares
        if not shares:
            return None
        weights = [share.weight for share in shares]
        return random.choices(shares, weights)[0].pool


def admit(request: CallerRequest, catalog: Catalog | None) -> Result[Call, Error]:
    """Finds a request's route and organisation, or says why it can't be served."""
    if catalog is None:
        detail = "no configuration is known yet"
        wait_s = RETRY_AFTER_NOT_READY_S
        return Failure(Error(ErrorKind.NOT_READY, detail, retry_after_s=wait_s))
    too_large = _find_excess(request, catalog.limits)
    if too_large is not None:
        return Failure(too_large)
    route = catalog.find_route(request.host, request.target)
    if route is None:
        detail = f"no route for {request.host}{request.target:.80}"
        return Failure(Error(ErrorKind.UNKNOWN_ROUTE, detail))
    organisation = catalog.organisation_by_key.get(request.key or "")
    if organisation is None and catalog.organisations and not route.is_public:
        return Failure(Error(ErrorKind.UNKNOWN_KEY, "the key is not known"))
    limits_s = [route.timeout_s]
    if request.timeout_s is not None:
        limits_s.append(request.timeout_s)
    deadline = request.arrived + min(limits_s)
    return Success(Call(request, route, organisation, deadline, catalog.version))


def _find_excess(request: CallerRequest, limits: CallerLimits) -> Error | None:
    """Returns an error if a request is larger than the configuration allows."""
    if request.header_bytes > limits.max_header_bytes:
        detail = f"the headers are larger than {limits.max_header_bytes} bytes"
        return Error(ErrorKind.HEADERS_TOO_LARGE, detail)
    if len(request.body) > limits.max_body_bytes:
        detail = f"the body is larger than {limits.max_body_bytes} bytes"
        return Error(ErrorKind.TOO_LARGE, detail)
    return None


def size_class(prompt: Prompt | None) -> str:
    """Returns the label of a prompt's size in metrics, ``none`` for calls.

    >>> size_class(Prompt("m", 45_000, 100))
    'up_to_100k'
    """
    if prompt is None:
        return "none"
    for label, limit in TOKENS_BY_SIZE_CLASS:
        if prompt.tokens <= limit:
            return label
    return LARGEST_SIZE_CLASS
