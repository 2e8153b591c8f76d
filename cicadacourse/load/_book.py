"""All known runs by endpoint, and what they mean for the next one."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import Sequence

import attrs

from cicadacourse.load._model import Assignment, Role


@attrs.frozen
class EndpointLoad:
    """What is in progress at one endpoint.

    :param decode_streams: streams that are or will be written there.
    :param calls: calls in progress there.
    :param helper_prefills: parts of others' prompts that are read there.
    :param context_tokens: memory that all of them may come to hold.
    :param backlog_s: seconds until all reading there is done.
    :param streams_awaiting_prefill: streams among the writers whose prompts are not yet
        read.
    :param shortest_gap_s: the shortest pause that a stream there bears, or None.
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


class LoadTable:
    """Own runs by number, others' runs by their instance."""

    def __init__(self) -> None:
        self._own_by_number: dict[int, Assignment] = {}
        self._others_by_instance: dict[str, Sequence[Assignment]] = {}
        self._by_endpoint: dict[str, list[Assignment]] | None = None
        self._numbers = itertools.count(1)

    def add(self, run: Assignment) -> int:
        """Notes an own run and returns its number."""
        number = next(self._numbers)
        self._own_by_number[number] = run
        self._by_endpoint = None
        return number

    def remove(self, number: int) -> None:
        """Forgets an own run that has ended."""
        self._own_by_number.pop(number, None)
        self._by_endpoint = None

    def own_assignments(self) -> list[Assignment]:
        """Returns this instance's runs."""
        return list(self._own_by_number.values())

    def replace_remote_assignments(
        self, instance: str, runs: Sequence[Assignment]
    ) -> None:
        """Replaces all runs of another instance."""
        if runs:
            self._others_by_instance[instance] = runs
        else:
            self._others_by_instance.pop(instance, None)
        self._by_endpoint = None

    def remote_assignments_at(self, endpoint: str) -> list[tuple[str, Assignment]]:
        """Returns other instances' runs at an endpoint, each with its instance."""
        return [
            (instance, run)
            for instance, runs in self._others_by_instance.items()
            for run in runs
            if run.endpoint == endpoint
        ]

    def load_of(self, endpoint: str, now: float) -> EndpointLoad:
        """Returns what is in progress at an endpoint at a time."""
        runs = self._index().get(endpoint)
        return summarize(runs, now) if runs else IDLE

    def _index(self) -> dict[str, list[Assignment]]:
        if self._by_endpoint is None:
            self._by_endpoint = defaultdict(list)
            others = itertools.chain.from_iterable(self._others_by_instance.values())
            for run in itertools.chain(self._own_by_number.values(), others):
                self._by_endpoint[run.endpoint].append(run)
        return self._by_endpoint


def summarize(runs: Sequence[Assignment], now: float) -> EndpointLoad:
    """Returns the load that some runs make at one endpoint.

    >>> run = Assignment("e", Role.PREFILL, started=0.0, prefill_s=0.5)
    >>> summarize([run], now=0.2).backlog_s
    0.3
    """
    writers = calls = reads = context_tokens = unread_writers = 0
    gaps = []
    for run in runs:
        writers += run.role is Role.DECODE
        calls += run.role is Role.CALL
        reads += run.role is Role.PREFILL
        context_tokens += run.context_tokens
        if run.role is Role.DECODE:
            gaps.append(run.gap_s)
            unread_writers += run.has_pending_prefill(now)
    return EndpointLoad(
        decode_streams=writers,
        calls=calls,
        helper_prefills=reads,
        context_tokens=context_tokens,
        backlog_s=_backlog_s(runs, now),
        streams_awaiting_prefill=unread_writers,
        shortest_gap_s=min(gaps) if gaps else None,
    )


def _backlog_s(runs: Sequence[Assignment], now: float) -> float:
    """Returns the seconds until an engine has read what is unread.

    It reads one part after the other, so parts that are read already count too: until
    they were done, the others had to wait.

    >>> two = [
    ...     Assignment("e", Role.PREFILL, started=0.0, prefill_s=0.5) for _ in range(2)
    ... ]
    >>> _backlog_s(two, now=0.5)
    0.5
    """
    unread_s = sum(run.prefill_s for run in runs if not run.is_prefilled)
    if not unread_s:
        return 0.0
    free_at = 0.0
    for run in sorted(runs, key=lambda item: item.started):
        free_at = max(free_at, run.started) + run.prefill_s
    return min(unread_s, max(0.0, free_at - now))
