"""What this instance knows of its own links to endpoints."""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.membership import Member

NEVER = float("-inf")
# An answer of another instance counts this long for a link that fails after it.
ANSWER_LIFETIME_S = 1.0
# A connection that was made this long ago shows that there is a link.
CONNECTED_LIFETIME_S = 0.25
# So long after another instance has reached an endpoint, a third one may deny it.
REACHED_LIFETIME_S = 1.0
# Endpoints that so many other instances don't reach either are asked for no further.
MAX_DENIALS = 2
# From this many links on that were lost without any connection in between, this
# instance counts as cut off from all endpoints.
MIN_IN_A_ROW = 2


@attrs.define
class Link:
    """The link from this instance to one endpoint; all times are loop times in seconds.

    :ivar connected_at: when a direct connection was made last.
    :ivar has_failed: whether the last direct connection could not be made.
    :ivar failing_since: when the first one could not be made since one was made.
    :ivar failed_at: when a direct connection could not be made last.
    :ivar reached_by: the instance that reached the endpoint last, or None if no other
        one is known to reach it.
    :ivar reached_at: when it did.
    :ivar checked_at: when another instance last told whether it reaches the endpoint.
    :ivar denied_by: instances that did not reach the endpoint, since any did.
    """

    endpoint: Endpoint
    connected_at: float = NEVER
    has_failed: bool = False
    failing_since: float = NEVER
    failed_at: float = NEVER
    reached_by: str | None = None
    reached_at: float = NEVER
    checked_at: float = NEVER
    denied_by: set[str] = attrs.field(factory=set)

    @property
    def is_lost(self) -> bool:
        """Whether this instance can't connect to an endpoint that another one reaches.

        Otherwise the endpoint itself may have failed.
        """
        return self.has_failed and self.reached_by is not None

    def is_unreachable(self, peers: int) -> bool:
        """Returns whether neither this instance nor others asked reach the endpoint.

        :param peers: the number of other instances that can be asked.
        """
        is_denied = len(self.denied_by) >= min(peers, MAX_DENIALS)
        return self.has_failed and self.reached_by is None and is_denied

    def record_connected(self, now_s: float) -> None:
        """Records that a direct connection was made."""
        self.connected_at = now_s
        self.has_failed = False
        self._forget_answers()

    def record_failed(self, now_s: float) -> None:
        """Records that a direct connection could not be made."""
        if not self.has_failed:
            self.failing_since = now_s
            if now_s - self.checked_at > ANSWER_LIFETIME_S:
                self._forget_answers()
        self.has_failed = True
        self.failed_at = now_s

    def record_reached_by(self, peer: str, now_s: float, is_kept: bool) -> None:
        """Records that another instance reaches the endpoint.

        :param is_kept: whether that is over a connection that it kept. Its link may be
            lost as well, so this holds only until the next answer.
        """
        self.reached_by = peer
        if not is_kept:
            self.denied_by.clear()
            self.reached_at = self.checked_at = now_s

    def record_not_reached_by(self, peer: str, now_s: float) -> None:
        """Records that another instance does not reach the endpoint.

        That says nothing against a third one that did a short time ago.
        """
        self.checked_at = now_s
        is_outdated = now_s - self.reached_at > REACHED_LIFETIME_S
        if is_outdated or self.reached_by in (None, peer):
            self.reached_by = None
            if len(self.denied_by) < MAX_DENIALS:
                self.denied_by.add(peer)

    def needs_answers(self, peers: int, now_s: float) -> bool:
        """Returns whether another instance should be asked about the endpoint.

        :param peers: the number of other instances that can be asked.
        """
        if now_s - self.checked_at >= ANSWER_LIFETIME_S:
            return True
        return self.reached_by is None and len(self.denied_by) < min(peers, MAX_DENIALS)

    def choose_witnesses(self, peers: Sequence[Member]) -> list[Member]:
        """Returns the instances to ask whether they reach the endpoint.

        That is the one that has reached it last, else some that have not denied it yet.

        :param peers: those that can be asked, the best first.
        """
        order = sorted(peers, key=lambda item: item.name in self.denied_by)
        order.sort(key=lambda item: item.name != self.reached_by)
        return order[: 1 if self.is_lost else MAX_DENIALS]

    def _forget_answers(self) -> None:
        self.reached_by = None
        self.denied_by.clear()


class Links:
    """The links from this instance, by endpoint id."""

    def __init__(self) -> None:
        self._link_by_id: dict[str, Link] = {}
        # Endpoints to which the last direct connection could not be made.
        self._failed_ids: dict[str, None] = {}
        # Links that have failed one after the other since any connection was made.
        self._failed_in_a_row: set[str] = set()

    def __len__(self) -> int:
        return len(self._link_by_id)

    def find(self, endpoint: Endpoint) -> Link | None:
        """Returns the link to a process of an endpoint, or None if none was tried."""
        link = self._link_by_id.get(endpoint.id)
        if link is None or not link.endpoint.is_same_process(endpoint):
            return None
        return link

    @property
    def have_failed(self) -> bool:
        """Whether the last direct connection to any endpoint could not be made."""
        return bool(self._failed_ids)

    def has_failed(self, endpoint: Endpoint) -> bool:
        """Returns whether the last direct connection to it could not be made."""
        link = self.find(endpoint)
        return link is not None and link.has_failed

    def lost(self) -> list[Link]:
        """Returns the links to endpoints that only other instances reach."""
        return [
            link for id in self._failed_ids if (link := self._link_by_id[id]).is_lost
        ]

    @property
    def failed_in_a_row(self) -> int:
        """How many links have failed one after the other since any connection was made.

        That may be the links or the endpoints.
        """
        return len(self._failed_in_a_row)

    @property
    def are_most_lost(self) -> bool:
        """Whether several links in a row are lost, so that the others may be as well.

        A single connection that is made since shows that this is not so.
        """
        links = (self._link_by_id.get(id) for id in self._failed_in_a_row)
        lost = sum(item is not None and item.is_lost for item in links)
        return lost >= MIN_IN_A_ROW

    def record_connected(self, endpoint: Endpoint, now_s: float) -> None:
        """Records that a direct connection was made."""
        self._failed_in_a_row.clear()
        self._make(endpoint).record_connected(now_s)
        self._failed_ids.pop(endpoint.id, None)

    def record_failed(self, endpoint: Endpoint, now_s: float) -> None:
        """Records that a direct connection could not be made."""
        link = self._make(endpoint)
        if not link.has_failed:
            self._failed_in_a_row.add(endpoint.id)
        link.record_failed(now_s)
        self._failed_ids[endpoint.id] = None

    def record_reached_by(
        self, endpoint: Endpoint, peer: str, now_s: float, is_kept: bool
    ) -> None:
        """Records that another instance reaches an endpoint."""
        self._make(endpoint).record_reached_by(peer, now_s, is_kept)

    def record_not_reached_by(
        self, endpoint: Endpoint, peer: str, now_s: float
    ) -> None:
        """Records that another instance does not reach an endpoint."""
        self._make(endpoint).record_not_reached_by(peer, now_s)

    def forget(self, endpoint_id: str) -> None:
        """Removes a link, as its endpoint is gone or has restarted."""
        self._link_by_id.pop(endpoint_id, None)
        self._failed_ids.pop(endpoint_id, None)
        self._failed_in_a_row.discard(endpoint_id)

    def clear(self) -> None:
        """Removes all links, as what is known of them is out of date."""
        self._link_by_id.clear()
        self._failed_ids.clear()
        self._failed_in_a_row.clear()

    def _make(self, endpoint: Endpoint) -> Link:
        """Returns the link to a process of an endpoint, a new one if there is none."""
        link = self.find(endpoint)
        if link is None:
            self.forget(endpoint.id)
            link = self._link_by_id[endpoint.id] = Link(endpoint)
        return link
