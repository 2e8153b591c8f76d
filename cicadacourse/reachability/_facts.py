"""How many links each instance has lost, as facts that all instances share."""

from __future__ import annotations

import asyncio

import attrs

from cicadacourse.evidence import FACT_KINDS, Evidence, FactKind
from cicadacourse.util.clock import now

LOST_ENDPOINTS = "lost_endpoints"
# The fact of an instance that has ended, or that can't tell of its links any more,
# counts no longer than this. Two repetitions may be lost meanwhile.
LIFETIME_S = 6.0
REPEAT_S = 2.0
# Other instances tell the order of two facts by the times at which they receive them,
# so these must differ by more than the messages take.
MIN_INTERVAL_S = 0.25
# More than the instances of a fleet.
MAX_FACTS = 1000
FACT_KINDS.register(LOST_ENDPOINTS)(
    FactKind(LIFETIME_S, MAX_FACTS, is_latest_only=True)
)


@attrs.define(eq=False)
class LossFacts:
    """Publishes the share of links that this instance has lost, and reads the others'.

    :param own_name: the name of this instance, the key of its fact.
    """

    evidence: Evidence
    own_name: str
    _share: float = 0.0
    _published_at: float = float("-inf")
    _timer: asyncio.TimerHandle | None = None

    def publish(self, share: float) -> None:
        """Tells the others the share of the endpoints that this instance has lost.

        That is done now or within ``MIN_INTERVAL_S`` of the last time.
        """
        self._share = share
        if self._timer is None:
            delay_s = max(0.0, self._published_at + MIN_INTERVAL_S - now())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._publish)

    def repeat(self, share: float) -> None:
        """Tells it again if the last time was long ago, as facts expire."""
        if now() - self._published_at >= REPEAT_S:
            self.publish(share)

    def stop(self) -> None:
        """Publishes nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def _publish(self) -> None:
        self._timer = None
        self._published_at = now()
        self.evidence.publish(LOST_ENDPOINTS, self.own_name, self._share)

    def share_by_instance(self) -> dict[str, float]:
        """Returns the shares of all instances that tell of lost links."""
        share_by_instance = {}
        for name in self.evidence.keys(LOST_ENDPOINTS):
            for fact in self.evidence.find(LOST_ENDPOINTS, name):
                if fact.value > 0:
                    share_by_instance[name] = fact.value
        return share_by_instance
