"""Keeps which endpoints this instance reaches, and which others do."""

from __future__ import annotations

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService, Endpoint, EndpointState
from cicadacourse.config import InstanceSettings
from cicadacourse.events import ENDPOINT_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.membership import Member, MemberState
from cicadacourse.reachability._facts import LossFacts
from cicadacourse.reachability._links import NEVER, Links
from cicadacourse.reachability._peers import PeerChoice
from cicadacourse.reachability._report import LossReport
from cicadacourse.util.clock import now


@SERVICES.register("reachability")
class Reachability(Service):
    """Records the outcomes of connections, and names the peers to ask instead."""

    name = "reachability"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        instance = app.settings.get(InstanceSettings)
        self._own_name = instance.name
        self._catalog_service: CatalogService = app.get("catalog")
        self._links = Links()
        self._report = LossReport()
        self._facts = LossFacts(app.get("evidence"), instance.name)
        self._peers = PeerChoice(instance.failure_domain)
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)
        app.events.connect(RESUMED_AFTER_PAUSE, self._resume)

    def record_connected(self, endpoint: Endpoint) -> None:
        """Records that this instance has connected to an endpoint directly."""
        self._links.record_connected(endpoint)
        self._update()

    def record_not_connected(self, endpoint: Endpoint) -> None:
        """Records that a direct connection to an endpoint could not be made."""
        if self._is_registered(endpoint):
            self._links.record_failed(endpoint, now())
            self._update()

    def record_reached_by_peer(self, endpoint: Endpoint, peer: str) -> None:
        """Records that another instance is connected to an endpoint."""
        self._peers.record_reached(peer, endpoint.id)
        if self._is_registered(endpoint):
            self._links.record_reached_by(endpoint, peer, now())
            self._update()

    def record_not_reached_by_peer(self, endpoint: Endpoint, peer: str) -> None:
        """Records that another instance can't connect to an endpoint, or is silent."""
        self._peers.record_failed(peer, endpoint.id)
        if self._is_registered(endpoint):
            self._links.record_not_reached_by(endpoint, peer, now())
            self._update()

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether only other instances reach an endpoint, for all it knows."""
        link = self._links.find(endpoint)
        return link is not None and link.is_lost

    def may_be_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether a peer should be asked at once, beside a direct connection.

        That is so if the links that were tried lately are lost. A direct connection to
        any endpoint ends it.
        """
        return self._links.are_most_lost or self.is_lost(endpoint)

    def failed_at(self, endpoint: Endpoint) -> float:
        """Returns when a direct connection failed last, loop time in seconds.

        A connection that has carried data since then lives.
        """
        link = self._links.find(endpoint)
        return NEVER if link is None else link.failed_at

    def peers_for(self, endpoint: Endpoint) -> list[Member]:
        """Returns the instances to ask for a way to an endpoint, the best first."""
        peers = self._other_instances()
        return self._peers.order(endpoint.id, peers, self._facts.share_by_instance())

    def _other_instances(self) -> list[Member]:
        return [
            item
            for item in self.app.get("membership").members()
            if item.name != self._own_name and item.state is MemberState.ALIVE
        ]

    def _update(self) -> None:
        """Tells changes of the links."""
        lost = self._links.lost()
        if self._report.update(lost, self._lost_share(len(lost))):
            self._facts.publish(self._report.share)

    def _lost_share(self, lost: int) -> float:
        """Returns the share of the endpoints to which the links count as lost."""
        if not lost:
            return 0.0
        if self._links.are_most_lost:
            return 1.0
        endpoints = self._catalog_service.registry.all()
        ready = sum(item.state is EndpointState.READY for item in endpoints)
        return min(1.0, lost / max(1, ready))

    def _is_registered(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is known still, so that its link is kept."""
        current = self._catalog_service.registry.find(endpoint.id)
        return current is not None and current.is_same_process(endpoint)

    def _endpoint_changed(self, endpoint: Endpoint) -> None:
        """Forgets the link to an endpoint that is gone or has restarted."""
        current = self._catalog_service.registry.find(endpoint.id)
        if current is None or self._links.find(current) is None:
            self._links.forget(endpoint.id)
            self._update()

    def _resume(self) -> None:
        """Forgets all links after a pause, as connections may have timed out in it."""
        self._links.clear()
        self._peers.clear()
        self._update()
