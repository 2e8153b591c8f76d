"""What callers and endpoints saw of requests, and which of these were given up."""

from __future__ import annotations

from collections import defaultdict
from typing import Iterable, Mapping, Sequence

import attrs

from soak._callers import Attempt
from soak._checks import OK
from standins.platform import Worker

# A request that was sent while its connection was closing ends within this time, which
# allows for a busy machine.
CLOSING_SLACK_S = 0.5
GIVEN_UP_STATUSES = frozenset({0, 502, 504})
# An idempotent request with so much of its time left when its connection fell silent
# for good must be served by another one.
MIN_REMAINING_S = 2.5
MIN_SERVED_SHARE = 0.7
MIN_COUNTED = 5


@attrs.define
class ExchangeHistory:
    """What callers and endpoints saw of the requests of a run.

    :param attempts: the callers' attempts.
    :param workers: the endpoints, none of which broke off a response.
    :param silenced_at: when the open connections to an endpoint fell silent for good,
        loop times in seconds, by the endpoint's id.
    :param own_limit_s: the shortest time limit of a request, in seconds; no request may
        be given up sooner.
    """

    attempts: Sequence[Attempt]
    workers: Iterable[Worker]
    silenced_at: Mapping[str, Sequence[float]]
    own_limit_s: float
    _silenced_at_by_id: dict[str, list[float]] = attrs.field(init=False)
    _arrived_ids: set[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._arrived_ids = set()
        self._silenced_at_by_id = defaultdict(list)
        for worker in self.workers:
            silenced_at = self.silenced_at.get(worker.id, ())
            for arrival in worker.arrivals:
                self._arrived_ids.add(arrival.request_id)
                self._silenced_at_by_id[arrival.request_id] += [
                    at_s for at_s in silenced_at if at_s >= arrival.at
                ]

    def summarize(self) -> str:
        """Returns a line with the numbers of attempts by what they met."""
        on_silent = self._on_silent_connections()
        served = sum(item.status == OK for item in on_silent)
        return (
            f"{len(self._arrived_ids)} requests reached endpoints;"
            f" {served} of {len(on_silent)} served whose connections fell silent"
        )

    def find_given_up(self) -> list[str]:
        """Returns a line for each exchange that an instance ended too soon.

        It had reached an endpoint or was not just crossing the end of its connection,
        and its own time limit was still ahead.
        """
        return [
            f"{item.id} {item.kind.path} at {item.instance.name} was given up with"
            f" status {item.status or 'none'} after {item.ended - item.started:.2f} s"
            for item in self.attempts
            if item.status in GIVEN_UP_STATUSES
            and item.ended - item.started < self.own_limit_s
            and not self._is_crossing_close(item)
        ]

    def find_unserved(self) -> list[str]:
        """Returns a line if too few requests on silent connections were served."""
        counted = self._on_silent_connections()
        served = sum(item.status == OK for item in counted)
        if len(counted) < MIN_COUNTED or served >= MIN_SERVED_SHARE * len(counted):
            return []
        return [
            f"only {served} of {len(counted)} idempotent requests were served whose"
            " connections had fallen silent"
        ]

    def _on_silent_connections(self) -> list[Attempt]:
        return [
            item
            for item in self.attempts
            if item.kind.is_idempotent and self._met_silence(item)
        ]

    def _met_silence(self, attempt: Attempt) -> bool:
        """Whether its connection to an endpoint fell silent with much time left.

        A request that ended late without reaching any endpoint was sent on one that had
        fallen silent before.
        """
        took_s = attempt.ended - attempt.started
        if attempt.id not in self._arrived_ids and took_s > self.own_limit_s:
            return attempt.status in GIVEN_UP_STATUSES
        latest_s = attempt.started + self.own_limit_s - MIN_REMAINING_S
        moments = self._silenced_at_by_id[attempt.id]
        return any(at_s <= min(latest_s, attempt.ended) for at_s in moments)

    def _is_crossing_close(self, attempt: Attempt) -> bool:
        return (
            attempt.id not in self._arrived_ids
            and attempt.ended - attempt.started <= CLOSING_SLACK_S
        )
