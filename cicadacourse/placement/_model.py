"""Placement requests, the candidates for them, and the resulting placements."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint, Organisation, Pool, Route
from cicadacourse.eligibility import AllowedRegions
from cicadacourse.load import Assignment, EndpointLoad


@attrs.frozen
class AdmissionTerms:
    """What a request was admitted by; it stays in force whatever changes meanwhile.

    :param host: the ``Host`` that the caller sent.
    :param target: the path that the caller sent, with its query.
    :param key: the API key that the caller sent, or None.
    :param organisation: the owner of that key, or None.
    :param route: the route as of the admission.
    :param pool: the pool that it was admitted to, None if that was not configured.
    """

    host: str
    target: str
    key: str | None
    organisation: Organisation | None
    route: Route
    pool: Pool | None


@attrs.frozen
class PlacementRequest:
    """What one request needs from the endpoints of a pool.

    :param request_id: identifies the request in the log.
    :param pool: the pool's name.
    :param priority: rank in the queue, 0 first.
    :param target_s: seconds that are left of the latency objective.
    :param wait_s: seconds for which the request may still be queued.
    :param time_left_s: seconds until a response, or a stream's first event, is useless.
    :param prompt_tokens: tokens to prefill, 0 for calls.
    :param output_tokens: the maximum number of tokens to decode, 0 for calls.
    :param gap_s: the longest inter-token gap that its stream tolerates, 0 for calls.
    :param organisation: the name of the caller's organisation, empty if there is none.
    :param avoided_ids: ids of endpoints that have failed this request.
    :param terms: what the request was admitted by. Without them it is refused once its
        pool is no longer configured.
    :param has_begun: whether it may have run, or a part of its response was forwarded,
        so that a refusal would lose more than the caller's time.
    :param may_risk_refusal: whether another endpoint would be tried after a refusal.
    :param regions: the regions that may serve it; None if all may.
    """

    request_id: str
    pool: str
    priority: int
    target_s: float
    wait_s: float
    time_left_s: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    gap_s: float = 0.0
    organisation: str = ""
    avoided_ids: frozenset[str] = frozenset()
    terms: AdmissionTerms | None = None
    has_begun: bool = False
    may_risk_refusal: bool = True
    regions: AllowedRegions = None

    @property
    def context_tokens(self) -> int:
        """The KV-cache tokens that the request may occupy."""
        return self.prompt_tokens + self.output_tokens

    def in_pool(self, pool: Pool) -> PlacementRequest:
        """Returns the request as one that was admitted to a pool."""
        terms = self.terms and attrs.evolve(self.terms, pool=pool)
        return attrs.evolve(self, pool=pool.name, terms=terms)

    def after(self, waited_s: float) -> PlacementRequest:
        """Returns the request with the times that remain after it has waited."""
        return attrs.evolve(
            self,
            target_s=max(0.0, self.target_s - waited_s),
            wait_s=max(0.0, self.wait_s - waited_s),
            time_left_s=max(0.0, self.time_left_s - waited_s),
        )


@attrs.frozen
class Candidate:
    """An endpoint that may be chosen.

    :param load: its assignments in progress, as far as this instance knows.
    :param is_same_domain: whether it runs in this instance's failure domain.
    :param tie_break: decides among equals. It differs between instances, so that those
        that don't know of each other yet choose differently.
    :param has_connection: whether its pool allows this instance another connection for
        a request to it.
    :param may_help: whether it may prefill parts of prompts for other engines. One that
        names a limit on its requests may not.
    :param is_in_need: whether it has declined requests of any instance for a time that
        is not over.
    """

    endpoint: Endpoint
    load: EndpointLoad
    is_same_domain: bool
    tie_break: int = 0
    has_connection: bool = True
    may_help: bool = True
    is_in_need: bool = False

    @property
    def has_slot(self) -> bool:
        """Whether a further request would start at once."""
        return self.load.in_progress < self.endpoint.slots


@attrs.frozen
class ReservationPlan:
    """KV cache that is to be reserved on one engine, in tokens."""

    endpoint: Endpoint
    tokens: int


@attrs.frozen
class Placement:
    """The endpoints that serve a request.

    :param endpoint: the endpoint that the request is sent to.
    :param helpers: engines that prefill a part of the prompt, those with reserved KV
        cache first.
    :param assignments: the assignments in progress that it adds, the endpoint's first.
    :param expected_first_event_s: the estimated seconds to the first event, 0 for
        calls.
    :param load: the load of the endpoint that the choice was based on.
    :param reservation_plans: KV cache that must be reserved before the request is sent.
    """

    endpoint: Endpoint
    helpers: tuple[Endpoint, ...]
    assignments: tuple[Assignment, ...]
    expected_first_event_s: float = 0.0
    load: EndpointLoad = EndpointLoad()
    reservation_plans: tuple[ReservationPlan, ...] = ()
