"""How many links each instance has lost, as facts that all instances share."""

from __future__ import annotations

import attrs

from cicadacourse.evidence import FACT_KINDS, Evidence, FactKind
from cicadacourse.util.clock import now

LOST_ENDPOINTS = "lost_endpoints"
# The fact of an instance that has ended, or that can't tell of its links any more,
# counts no longer than this. Two repetitions may be lost meanwhile.
LIFETIME_S = 6.0
REPEAT_S = 2.0
# More than the instances of a fleet.
MAX_FACTS = 1000
FACT_KINDS.register(LOST_ENDPOINTS)(
    FactKind(LIFETIME_S, MAX_FACTS, is_latest_only=True)
)


@attrs.define
class LossFacts:
    """Publishes the share of links that this instance has lost, and reads the others'.

    :param own_name: the name of this instance, the key of its fact.
    """

    evidence: Evidence
    own_name: str
    _published_at: float = float("-inf")

    def publish(self, share: float) -> None:
        """Tells the others the share of the endpoints that this instance has lost."""
        self._published_at = now()
        self.evidence.publish(LOST_ENDPOINTS, self.own_name, share)

    def repeat(self, share: float) -> None:
        """Tells it again if the last time was long ago, as facts expire."""
        if now() - self._published_at >= REPEAT_S:
            self.publish(share)

    def share_by_instance(self) -> dict[str, float]:
        """Returns the shares of all instances that tell of lost links."""
        share_by_instance = {}
        for name in self.evidence.keys(LOST_ENDPOINTS):
            for fact in self.evidence.find(LOST_ENDPOINTS, name):
                if fact.value > 0:
                    share_by_instance[name] = fact.value
        return share_by_instance
