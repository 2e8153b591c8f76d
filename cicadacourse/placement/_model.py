"""What is asked of a placement, and what it may choose from."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.load import Assignment, EndpointLoad


@attrs.frozen
class PlacementRequest:
    """What one request asks of the endpoints of a pool.

    :param request_id: for the log.
    :param pool: the pool's name.
    :param priority: rank, 0 first.
    :param target_s: the latency objective that is left.
    :param wait_s: how much longer it may wait for a place.
    :param time_left_s: until an answer, or a stream's first event, is of no more use.
    :param prompt_tokens: tokens to read, 0 for calls.
    :param output_tokens: tokens that may be written, 0 for calls.
    :param gap_s: the longest pause that its stream bears, 0 for calls.
    :param organisation: who asks, empty if nobody is named.
    :param avoided_ids: ids of endpoints that have failed this request.
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

    @property
    def context_tokens(self) -> int:
        """Engine memory that the request may come to hold."""
        return self.prompt_tokens + self.output_tokens

    def after(self, waited_s: float) -> PlacementRequest:
        """Returns what the request asks after it has waited."""
        return attrs.evolve(
            self,
            target_s=max(0.0, self.target_s - waited_s),
            wait_s=max(0.0, self.wait_s - waited_s),
            time_left_s=max(0.0, self.time_left_s - waited_s),
        )


@attrs.frozen
class Candidate:
    """An endpoint that may be chosen.

    :param load: what is in progress there, as far as is known here.
    :param is_same_domain: whether it runs in this instance's failure domain.
    :param tie_break: decides among equals, the lowest first. It differs from instance
        to instance, so that those that have not heard of each other choose differently.
    """

    endpoint: Endpoint
    load: EndpointLoad
    is_same_domain: bool
    tie_break: int = 0

    @property
    def has_slot(self) -> bool:
        """Whether a further request would be worked on at once."""
        return self.load.in_progress < self.endpoint.slots


@attrs.frozen
class ReservationPlan:
    """Memory that is to be reserved on one engine, in tokens."""

    endpoint: Endpoint
    tokens: int


@attrs.frozen
class Placement:
    """Where a request goes.

    :param endpoint: the endpoint that it is sent to.
    :param helpers: engines that read a part of the prompt, ticket holders first.
    :param assignments: what to note as in progress: the endpoint's run first.
    :param expected_first_event_s: the estimated seconds to the first event, 0 for
        calls.
    :param load: what was believed to be in progress at the endpoint.
    :param reservation_plans: memory that must be reserved first.
    """

    endpoint: Endpoint
    helpers: tuple[Endpoint, ...]
    assignments: tuple[Assignment, ...]
    expected_first_event_s: float = 0.0
    load: EndpointLoad = EndpointLoad()
    reservation_plans: tuple[ReservationPlan, ...] = ()
