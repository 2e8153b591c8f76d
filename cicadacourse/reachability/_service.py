"""Keeps which endpoints this instance reaches, and which others do."""

from __future__ import annotations

import random

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.membership import Member
from cicadacourse.reachability._links import Links
from cicadacourse.util.clock import now


@SERVICES.register("reachability")
class Reachability(Service):
    """Records the outcomes of connections, and names the peers to ask instead."""

    name = "reachability"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._links = Links()

    def record_connected(self, endpoint: Endpoint) -> None:
        """Records that this instance has connected to an endpoint directly."""
        self._links[endpoint.id].connected_at = now()

    def record_not_connected(self, endpoint: Endpoint) -> None:
        """Records that a direct connection to an endpoint could not be made."""
        self._links[endpoint.id].failed_at = now()

    def record_reached_by_peer(self, endpoint: Endpoint, peer: str) -> None:
        """Records that another instance is connected to an endpoint."""
        self._links[endpoint.id].reached_by_peer_at = now()

    def record_not_reached_by_peer(self, endpoint: Endpoint, peer: str) -> None:
        """Records that another instance can't connect to an endpoint, or is silent."""

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether only other instances reach an endpoint, for all it knows."""
        return self._links[endpoint.id].is_lost

    def may_be_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether a peer should be asked at once, beside a direct connection.

        That is so if most links of this instance are lost and it has not connected to
        the endpoint since.
        """
        return self.is_lost(endpoint)

    def failed_at(self, endpoint: Endpoint) -> float:
        """Returns when a direct connection failed last, loop time in seconds.

        A connection that has carried data since then lives.
        """
        return self._links[endpoint.id].failed_at

    def peers_for(self, endpoint: Endpoint) -> list[Member]:
        """Returns the instances to ask for a way to an endpoint, the best first."""
        members = self.app.get("membership").alive_members()
        peers = [item for item in members if item.name != self._own_name]
        random.shuffle(peers)
        return peers
