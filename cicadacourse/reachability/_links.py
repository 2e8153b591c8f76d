"""What this instance knows of its own links to endpoints."""

from __future__ import annotations

import attrs

NEVER = float("-inf")


@attrs.define
class Link:
    """The link from this instance to one endpoint; all times are loop times in seconds.

    :ivar connected_at: when a direct connection was made last.
    :ivar failed_at: when a direct connection could not be made last.
    :ivar reached_by_peer_at: when another instance reached the endpoint last.
    """

    connected_at: float = NEVER
    failed_at: float = NEVER
    reached_by_peer_at: float = NEVER

    @property
    def has_failed(self) -> bool:
        """Whether the last direct connection could not be made."""
        return self.failed_at > self.connected_at

    @property
    def is_lost(self) -> bool:
        """Whether a peer has reached the endpoint since this instance has not."""
        return self.has_failed and self.reached_by_peer_at > self.connected_at


class Links:
    """The links from this instance, by endpoint id."""

    def __init__(self) -> None:
        self._link_by_id: dict[str, Link] = {}

    def __getitem__(self, endpoint_id: str) -> Link:
        """Returns the link to an endpoint, a new one if there is none."""
        return self._link_by_id.setdefault(endpoint_id, Link())

    def lost_ids(self) -> list[str]:
        """Returns the ids of the endpoints to which the links are lost."""
        return [id for id, link in self._link_by_id.items() if link.is_lost]

    def forget(self, endpoint_id: str) -> None:
        """Removes a link, as its endpoint is gone or has restarted."""
        self._link_by_id.pop(endpoint_id, None)
