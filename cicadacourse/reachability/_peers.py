"""Chooses the instances to ask for a way to an endpoint.

The expected load is the requests of an instance, or of all instances of a failure
domain, that have lost their links. An instance that is asked in vain costs a request a
time limit.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from typing import Mapping, Sequence

import attrs

from cicadacourse.membership import Member
from cicadacourse.reachability._report import CUT_OFF_SHARE
from cicadacourse.util.clock import now

# How long an instance is asked after the others once it was asked in vain.
AVOID_S = 1.0
# An instance that was asked in vain for this many endpoints is asked after the others
# for all endpoints: it is silent, or it has lost its links as well.
MIN_FAILED_ENDPOINTS = 2
# Bounds the memory.
MAX_FAILURES = 2000


@attrs.frozen
class _Failure:
    """An instance that did not reach an endpoint, at a loop time in seconds."""

    at: float
    peer: str
    endpoint_id: str


@attrs.define
class PeerChoice:
    """Orders the other instances by how likely they reach an endpoint.

    :param own_domain: the failure domain of this instance.
    """

    own_domain: str
    _failures: deque[_Failure] = attrs.field(factory=lambda: deque(maxlen=MAX_FAILURES))

    def record_failed(self, peer: str, endpoint_id: str) -> None:
        """Records that an instance did not reach an endpoint, or was silent."""
        self._failures.append(_Failure(now(), peer, endpoint_id))

    def record_reached(self, peer: str, endpoint_id: str) -> None:
        """Records that an instance reaches an endpoint; it has its links."""
        self._failures = deque(
            (item for item in self._failures if item.peer != peer), MAX_FAILURES
        )

    def clear(self) -> None:
        """Forgets which instances failed."""
        self._failures.clear()

    def order(
        self,
        endpoint_id: str,
        peers: Sequence[Member],
        lost_share_by_peer: Mapping[str, float],
    ) -> list[Member]:
        """Returns the instances to ask, the best first.

        Those that have lost most links come last, those that failed lately before them.
        Among the others, the instances of the own failure domain come first, as traffic
        between failure domains is dear; the second one is of another domain, as the
        instances of one domain may lose their links together.
        """
        ids_by_peer = self._recent_failures()
        peers = random.sample(peers, len(peers))

        def rank(peer: Member) -> int:
            if lost_share_by_peer.get(peer.name, 0.0) >= CUT_OFF_SHARE:
                return 2
            failed_ids = ids_by_peer.get(peer.name, ())
            is_avoided = len(failed_ids) >= MIN_FAILED_ENDPOINTS
            return int(is_avoided or endpoint_id in failed_ids)

        peers.sort(key=lambda item: (rank(item), not self._is_near(item)))
        for position, peer in enumerate(peers[1:], start=1):
            if not self._is_near(peer):
                if rank(peer) == rank(peers[0]):
                    peers.insert(1, peers.pop(position))
                break
        return peers

    def _is_near(self, peer: Member) -> bool:
        return peer.failure_domain == self.own_domain

    def _recent_failures(self) -> dict[str, set[str]]:
        """Returns the ids of the endpoints that instances failed to reach lately."""
        while self._failures and now() - self._failures[0].at >= AVOID_S:
            self._failures.popleft()
        ids_by_peer: dict[str, set[str]] = defaultdict(set)
        for failure in self._failures:
            ids_by_peer[failure.peer].add(failure.endpoint_id)
        return ids_by_peer
