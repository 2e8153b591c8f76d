"""The assignments that are known, and the load that they make at each endpoint."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import Sequence

import attrs

from cicadacourse.load._model import Assignment, Role


@attrs.frozen
class EndpointLoad:
    """The load of one endpoint.

    :param decode_streams: streams that decode there or will after their prefill.
    :param calls: calls in progress there, which are requests without a prompt.
    :param helper_prefills: prefills there of parts of other engines' prompts.
    :param context_tokens: KV-cache tokens that all its assignments may come to hold.
    :param backlog_s: seconds until all prefills there are done.
    :param streams_awaiting_prefill: those of ``decode_streams`` whose prompts are not
        yet prefilled.
    :param shortest_gap_s: the shortest limit on the inter-token gap among the streams
        there, in seconds; None without a stream.
    """

    decode_streams: int = 0
    calls: int = 0
    helper_prefills: int = 0
    context_tokens: int = 0
    backlog_s: float = 0.0
    streams_awaiting_prefill: int = 0
    shortest_gap_s: float | None = None

    @property
    def in_progress(self) -> int:
        """Requests that take a slot."""
        return self.decode_streams + self.calls


IDLE = EndpointLoad()


@attrs.define
class _EndpointAssignments:
    """The assignments at one endpoint.

    Their summary is kept once it no longer changes with time. A choice looks at all
    endpoints of a pool, and a report changes a few of them.
    """

    assignments: list[Assignment] = attrs.field(factory=list)
    _settled: EndpointLoad | None = None

    def add(self, assignment: Assignment) -> None:
        self.assignments.append(assignment)
        self._settled = None

    def remove(self, assignment: Assignment) -> None:
        """Removes exactly this assignment; an equal one may be changed later."""
        for position, item in enumerate(self.assignments):
            if item is assignment:
                del self.assignments[position]
                break
        self._settled = None

    def summarize(self, now_s: float) -> EndpointLoad:
        if self._settled is not None:
            return self._settled
        load = summarize(self.assignments, now_s)
        # Without a further assignment, what is left of the prefills only gets less.
        if not load.backlog_s and not load.streams_awaiting_prefill:
            self._settled = load
        return load


class LoadTable:
    """The assignments of this instance, and those that the others reported."""

    def __init__(self) -> None:
        self._own_by_number: dict[int, Assignment] = {}
        self._remote_by_instance: dict[str, Sequence[Assignment]] = {}
        self._by_endpoint_id: dict[str, _EndpointAssignments] = {}
        self._numbers = itertools.count(1)

    def add(self, assignment: Assignment) -> int:
        """Adds an assignment of this instance and returns its number."""
        number = next(self._numbers)
        self._own_by_number[number] = assignment
        self._add_to_endpoint(assignment)
        return number

    def remove(self, number: int) -> None:
        """Removes an assignment of this instance that has ended."""
        assignment = self._own_by_number.pop(number, None)
        if assignment is not None:
            self._remove_from_endpoint(assignment)

    def own_assignments(self) -> list[Assignment]:
        """Returns the assignments of this instance."""
        return list(self._own_by_number.values())

    def count_own_requests(self) -> Counter[str]:
        """Returns how many requests this instance has at each endpoint, by its id.

        Those that it only helps are not counted.
        """
        return Counter(
            item.endpoint
            for item in self._own_by_number.values()
            if item.role is not Role.PREFILL
        )

    def replace_remote_assignments(
        self, instance: str, assignments: Sequence[Assignment]
    ) -> None:
        """Replaces all assignments of another instance."""
        for former in self._remote_by_instance.pop(instance, ()):
            self._remove_from_endpoint(former)
        if assignments:
            self._remote_by_instance[instance] = assignments
        for assignment in assignments:
            self._add_to_endpoint(assignment)

    def remote_assignments_at(self, endpoint_id: str) -> list[tuple[str, Assignment]]:
        """Returns the other instances' assignments at an endpoint.

        :returns: pairs of an instance's name and one of its assignments.
        """
        return [
            (instance, assignment)
            for instance, assignments in self._remote_by_instance.items()
            for assignment in assignments
            if assignment.endpoint == endpoint_id
        ]

    def load_of(self, endpoint_id: str, now_s: float) -> EndpointLoad:
        """Returns the load of an endpoint.

        :param now_s: loop time in seconds.
        """
        found = self._by_endpoint_id.get(endpoint_id)
        return IDLE if found is None else found.summarize(now_s)

    def _add_to_endpoint(self, assignment: Assignment) -> None:
        found = self._by_endpoint_id.get(assignment.endpoint)
        if found is None:
            found = self._by_endpoint_id[assignment.endpoint] = _EndpointAssignments()
        found.add(assignment)

    def _remove_from_endpoint(self, assignment: Assignment) -> None:
        found = self._by_endpoint_id[assignment.endpoint]
        found.remove(assignment)
        if not found.assignments:
            del self._by_endpoint_id[assignment.endpoint]


def summarize(assignments: Sequence[Assignment], now_s: float) -> EndpointLoad:
    """Returns the load that the assignments of one endpoint make.

    :param now_s: loop time in seconds.

    >>> assignment = Assignment("e", Role.PREFILL, started=0.0, prefill_s=0.5)
    >>> summarize([assignment], now_s=0.2).backlog_s
    0.3
    """
    decode_streams = calls = helper_prefills = context_tokens = awaiting_prefill = 0
    gaps = []
    for assignment in assignments:
        decode_streams += assignment.role is Role.DECODE
        calls += assignment.role is Role.CALL
        helper_prefills += assignment.role is Role.PREFILL
        context_tokens += assignment.context_tokens
        if assignment.role is Role.DECODE:
            gaps.append(assignment.gap_s)
            awaiting_prefill += assignment.has_pending_prefill(now_s)
    return EndpointLoad(
        decode_streams=decode_streams,
        calls=calls,
        helper_prefills=helper_prefills,
        context_tokens=context_tokens,
        backlog_s=_backlog_s(assignments, now_s),
        streams_awaiting_prefill=awaiting_prefill,
        shortest_gap_s=min(gaps) if gaps else None,
    )


def _backlog_s(assignments: Sequence[Assignment], now_s: float) -> float:
    """Returns the seconds until an engine has done all prefills.

    An engine prefills one assignment after the other, so those already prefilled count
    too: the others had to wait for them. The result is at most the sum of the prefills
    that are not yet done.

    >>> two = [
    ...     Assignment("e", Role.PREFILL, started=0.0, prefill_s=0.5) for _ in range(2)
    ... ]
    >>> _backlog_s(two, now_s=0.5)
    0.5
    """
    pending_s = sum(item.prefill_s for item in assignments if not item.is_prefilled)
    if not pending_s:
        return 0.0
    free_at_s = 0.0
    for assignment in sorted(assignments, key=lambda item: item.started):
        free_at_s = max(free_at_s, assignment.started) + assignment.prefill_s
    return min(pending_s, max(0.0, free_at_s - now_s))
