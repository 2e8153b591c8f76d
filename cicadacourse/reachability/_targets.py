"""Chooses the endpoints to which connections are tried in the background."""

from __future__ import annotations

from typing import Sequence

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Endpoint, EndpointState
from cicadacourse.exchange import EndpointConnector
from cicadacourse.membership import MemberState
from cicadacourse.reachability._links import (
    ANSWER_LIFETIME_S,
    MIN_IN_A_ROW,
    NEVER,
    Links,
)
from cicadacourse.reachability._prober import BATCH, MAX_BATCH, ProbeGroup
from cicadacourse.util.clock import now


class ProbeTargets:
    """Sorts the ready endpoints by what is known of the links to them."""

    def __init__(self, app: Application, links: Links) -> None:
        self._app = app
        self._links = links
        self._catalog_service: CatalogService = app.get("catalog")

    def ready(self) -> list[Endpoint]:
        """Returns the endpoints that accept requests."""
        endpoints = self._catalog_service.registry.all()
        return [item for item in endpoints if item.state is EndpointState.READY]

    def select_unreachable(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Returns those that neither this instance nor those it asked reach.

        A kept connection may work though no new one can be made.
        """
        connector: EndpointConnector = self._app.get("endpoint_connector")
        return [
            item
            for item in self._select_blocked(endpoints)
            if not connector.has_kept_connection(item, is_idempotent=True)
        ]

    def _select_blocked(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Returns those to which nobody is known to make new connections."""
        failed = [item for item in endpoints if self._links.has_failed(item)]
        if not failed:
            return []
        members = self._app.get("membership").members()
        alive = sum(item.state is MemberState.ALIVE for item in members)
        return [
            item
            for item in failed
            if (link := self._links.find(item)) and link.is_unreachable(alive - 1)
        ]

    def choose(self) -> list[ProbeGroup]:
        """Returns the endpoints to which connections are tried in the background.

        They are those to which the links are lost, those of pools of which none can be
        reached, and, if several have failed in a row, those of which neither is known.
        If nobody is known to reach any endpoint, the last ones are tried several at a
        time, as requests would go there. The one that was tried longest ago is next.
        Kept connections don't count, as nothing says when the last one has expired.
        """
        if not self._links.have_failed:
            return []
        ready = self.ready()
        unreachable = self._select_blocked(ready)
        reachable = set(ready).difference(unreachable)
        reachable_pools = {item.pool for item in reachable}
        lost = [item for item in reachable if self._is_lost(item)]
        blocked = [item for item in unreachable if item.pool not in reachable_pools]
        undecided: list[Endpoint] = []
        if self._links.failed_in_a_row >= MIN_IN_A_ROW:
            undecided = list(reachable.difference(lost))
        groups = [self._group(blocked)]
        if self._links.are_most_lost and self._has_fresh_answer(lost):
            groups.append(self._group([*lost, *undecided]))
        else:
            groups.append(self._group(lost))
            groups.append(self._group(undecided, self._batch()))
        return [group for group in groups if group.endpoints]

    def _has_fresh_answer(self, lost: list[Endpoint]) -> bool:
        """Returns whether another instance has just reached an endpoint."""
        links = (self._links.find(item) for item in lost)
        reached_at = max((item.reached_at for item in links if item), default=NEVER)
        return now() - reached_at < ANSWER_LIFETIME_S

    def _group(self, endpoints: list[Endpoint], batch: int = 1) -> ProbeGroup:
        return ProbeGroup(sorted(endpoints, key=self._failed_at), batch)

    def _batch(self) -> int:
        failed = self._links.failed_in_a_row
        return min(MAX_BATCH, max(BATCH, failed)) if failed > MIN_IN_A_ROW else 1

    def _is_lost(self, endpoint: Endpoint) -> bool:
        link = self._links.find(endpoint)
        return link is not None and link.is_lost

    def _failed_at(self, endpoint: Endpoint) -> float:
        link = self._links.find(endpoint)
        return NEVER if link is None else link.failed_at
