"""Tells all instances which failure domains operators have evacuated.

Few instances read the store. What they read there about a failure domain goes to the
others as a fact beside load reports, and with each configuration that they fetch.
"""

from __future__ import annotations

from typing import Sequence

from cicadacourse.application import Application
from cicadacourse.catalog import CatalogService, Evacuation
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind

EVACUATION = "evacuation"
# Bounds the memory. Facts only carry news: an instance that starts reads the store, or
# gets all that is in force with its first configuration.
MAX_EVACUATION_FACTS = 1000
FACT_KINDS.register(EVACUATION)(
    FactKind(lifetime_s=60.0, max_facts=MAX_EVACUATION_FACTS, is_latest_only=False)
)
SOURCE_STORE = "store"
SOURCE_PEERS = "peers"


class EvacuationFeed:
    """Puts what the store or other instances say about evacuations in force."""

    def __init__(self, app: Application) -> None:
        catalog_service: CatalogService = app.get("catalog")
        self._catalog_service = catalog_service
        self._evacuations = catalog_service.evacuations
        self._evidence: Evidence = app.get("evidence")
        self._evidence.subscribe(EVACUATION, self._apply_fact)

    def apply_read(self, evacuation: Evacuation) -> None:
        """Applies a record that this instance has read in the store."""
        if self._evacuations.apply(evacuation, SOURCE_STORE):
            self._publish(evacuation)

    def apply_snapshot(self, in_force: Sequence[Evacuation], position: int) -> None:
        """Applies all requests that the store held at a position."""
        known = set(self._evacuations.all)
        self._evacuations.apply_all(in_force, position, SOURCE_STORE)
        for evacuation in self._evacuations.all:
            if evacuation not in known:
                self._publish(evacuation)
        self._catalog_service.mark_evacuations_known()

    def _publish(self, evacuation: Evacuation) -> None:
        """Tells other instances; the same record is the same fact at all readers."""
        self._evidence.publish(
            EVACUATION,
            evacuation.failure_domain,
            value=float(evacuation.is_in_force),
            id=evacuation.position,
        )

    def _apply_fact(self, fact: Fact, is_own: bool) -> None:
        """Applies what another instance has read."""
        if not is_own:
            evacuation = Evacuation(fact.key, bool(fact.value), fact.id)
            self._evacuations.apply(evacuation, SOURCE_PEERS)
