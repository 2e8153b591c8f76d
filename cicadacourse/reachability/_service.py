"""Keeps which endpoints this instance reaches, and which others do."""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Sequence

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.events import ENDPOINT_CHANGED, LINKS_CHANGED, RESUMED_AFTER_PAUSE
from cicadacourse.membership import Member, MemberState
from cicadacourse.peers import handles
from cicadacourse.reachability._checks import EndpointChecks, try_connection
from cicadacourse.reachability._facts import LossFacts
from cicadacourse.reachability._links import (
    ANSWER_LIFETIME_S,
    CONNECTED_LIFETIME_S,
    NEVER,
    Links,
)
from cicadacourse.reachability._messages import CheckEndpoint, EndpointChecked
from cicadacourse.reachability._peers import PeerChoice
from cicadacourse.reachability._prober import LinkProber
from cicadacourse.reachability._report import CUT_OFF_SHARE, LossReport
from cicadacourse.reachability._targets import ProbeTargets
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

# How many instances are asked whether they reach an endpoint.
MAX_ASKED = 2

# A pool that accepts no connections counts as unreachable after this time. Endpoints
# may be silent for a second or so and go on.
MIN_UNREACHABLE_S = 1.2


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
        self._checks = EndpointChecks(app)
        self._targets = ProbeTargets(app, self._links)
        self._prober = LinkProber(
            self._targets.choose,
            self._probe,
            self._repeat,
            lambda s: self.sleep(s),
            Tasks(app.metrics, "reachability"),
        )
        app.events.connect(ENDPOINT_CHANGED, self._endpoint_changed)
        app.events.connect(RESUMED_AFTER_PAUSE, self._resume)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Tries lost links in the background while the instance runs."""
        self._prober.start()
        try:
            yield
        finally:
            self._facts.stop()
            await self._prober.stop()

    async def sleep(self, delay_s: float) -> None:
        """Sleeps for some seconds; tests replace it to freeze an instance."""
        await asyncio.sleep(delay_s)

    @handles(CheckEndpoint)
    async def on_check_endpoint(self, request: CheckEndpoint) -> EndpointChecked:
        """Answers another instance whether this one reaches an endpoint."""
        return await self._checks.check(request)

    def record_connected(self, endpoint: Endpoint) -> None:
        """Records that this instance has connected to an endpoint directly."""
        if self._is_registered(endpoint):
            have_failed = self._links.have_failed
            self._links.record_connected(endpoint, now())
            if have_failed:
                self._update(endpoint)

    def record_not_connected(self, endpoint: Endpoint) -> None:
        """Records that a direct connection to an endpoint could not be made."""
        if self._is_registered(endpoint):
            self._links.record_failed(endpoint, now())
            self._update(endpoint)

    def record_reached_by_peer(
        self, endpoint: Endpoint, peer: str, is_kept: bool = False
    ) -> None:
        """Records that another instance is connected to an endpoint.

        :param is_kept: whether over a connection that it kept, which may hang.
        """
        self._peers.record_reached(peer, endpoint.id)
        if self._is_registered(endpoint):
            self._links.record_reached_by(endpoint, peer, now(), is_kept)
            self._update(endpoint)

    def record_not_reached_by_peer(self, endpoint: Endpoint, peer: str) -> None:
        """Records that another instance can't connect to an endpoint, or is silent."""
        self._peers.record_failed(peer, endpoint.id)
        if self._is_registered(endpoint):
            self._links.record_not_reached_by(endpoint, peer, now())
            self._update(endpoint)

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether only other instances reach an endpoint, for all it knows."""
        link = self._links.find(endpoint)
        return link is not None and link.is_lost

    def select_lost(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Returns those endpoints that only other instances reach.

        It is called for each placement, so it costs little while no link has failed.
        """
        if not self._links.have_failed:
            return []
        return [item for item in endpoints if self.is_lost(item)]

    def may_be_lost(self, endpoint: Endpoint) -> bool:
        """Returns whether a peer should be asked at once, beside a direct connection.

        That is so if the links that were tried lately are lost. A direct connection to
        any endpoint ends it.
        """
        return self._links.are_most_lost or self.is_lost(endpoint)

    async def is_refused_elsewhere(self, endpoint: Endpoint) -> bool:
        """Returns whether a process refuses the connections of other instances as well.

        A link that is cut may refuse connections to a process that runs. If there is no
        other instance to ask, another endpoint must accept a connection.
        """
        self.record_not_connected(endpoint)
        others = self._other_instances()
        if not others:
            members = self.app.get("membership").members()
            others = [item for item in members if item.name != self._own_name]
        if not others:
            return await self._checks.reaches_another(endpoint)
        shares = self._facts.share_by_instance()
        peers = self._peers.order(endpoint.id, others, shares)
        return await self._checks.is_refused_by_any(endpoint, peers)

    async def is_reached_elsewhere(self, endpoint: Endpoint) -> bool:
        """Returns whether one of the instances that are best to ask is connected."""
        for peer in self.peers_for(endpoint)[:MAX_ASKED]:
            answer = await self._checks.ask(peer, endpoint, is_refused=False)
            if answer.is_reached:
                return True
        return False

    def has_connected_lately(self, endpoint: Endpoint) -> bool:
        """Returns whether this instance has just made a connection."""
        link = self._links.find(endpoint)
        if link is None or link.has_failed:
            return False
        return now() - link.connected_at < CONNECTED_LIFETIME_S

    def has_failed_lately(self, endpoint: Endpoint) -> bool:
        """Returns whether a connection could not be made within the last second."""
        if not self._links.has_failed(endpoint):
            return False
        return now() - self.failed_at(endpoint) < ANSWER_LIFETIME_S

    def is_unreachable(self, endpoint: Endpoint) -> bool:
        """Returns whether neither this instance nor those it asked reach an endpoint.

        An endpoint that was not tried counts as reachable.
        """
        return bool(self._targets.select_unreachable([endpoint]))

    @property
    def have_links_failed(self) -> bool:
        """Whether the link to any endpoint has failed and not worked since."""
        return self._links.have_failed

    def is_pool_unreachable(self, pool: str) -> bool:
        """Returns whether no ready endpoint of a pool is reachable, but there are some.

        See :meth:`are_unreachable`.
        """
        ready = self._catalog_service.registry.ready(pool)
        return self.are_unreachable(ready)

    def are_unreachable(self, ready: Sequence[Endpoint]) -> bool:
        """Returns whether none of some endpoints is reachable, but there are some.

        While that is so, connections are tried in the background. Endpoints that accept
        no connections for a second or so may only be silent, and don't count yet.
        """
        if not self._links.have_failed:
            return False
        if not ready or len(self._targets.select_unreachable(ready)) < len(ready):
            return False
        # A kept connection may have ended since the last change of a link.
        self._prober.wake()
        links = [self._links.find(item) for item in ready]
        failing_since = min(link.failing_since for link in links if link is not None)
        return now() - failing_since >= MIN_UNREACHABLE_S

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

    def cut_off_instances(self) -> set[str]:
        """Returns the names of the instances that have lost most links to endpoints."""
        shares = self._facts.share_by_instance()
        return {name for name, share in shares.items() if share >= CUT_OFF_SHARE}

    def _other_instances(self) -> list[Member]:
        return [
            item
            for item in self.app.get("membership").members()
            if item.name != self._own_name and item.state is MemberState.ALIVE
        ]

    def _update(self, endpoint: Endpoint | None = None) -> None:
        """Tells changes of the links, and tries connections if any are lost."""
        lost = self._links.lost()
        if self._report.update(lost, self._lost_share(len(lost))):
            self._facts.publish(self._report.share)
        self._prober.wake()
        self.app.events.emit(LINKS_CHANGED, endpoint)

    async def _probe(self, endpoint: Endpoint) -> bool:
        """Tries a connection; if it fails, asks others whether they reach the endpoint.

        The one that has reached it last is asked first, if it is alive.
        """
        if await try_connection(self.app, endpoint):
            return True
        link = self._links.find(endpoint)
        peers = self.peers_for(endpoint)
        if link is not None and link.needs_answers(len(peers), now()):
            asked = link.choose_witnesses(peers)
            await asyncio.gather(
                *(self._checks.ask(item, endpoint, False) for item in asked)
            )
        return False

    def _repeat(self) -> None:
        """Keeps the fact of this instance valid while links are lost."""
        if self._report.lost_since is not None:
            self._facts.repeat(self._report.share)

    def _lost_share(self, lost: int) -> float:
        """Returns the share of the endpoints to which the links count as lost."""
        if not lost:
            return 0.0
        if self._links.are_most_lost:
            return 1.0
        return min(1.0, lost / max(1, len(self._targets.ready())))

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
