"""Load on the limits of a memory cluster, and the judge of what was admitted."""

from __future__ import annotations

import asyncio
import random

import attrs
from returns.result import Success

from cicadacourse.membership import Membership
from cicadacourse.tables import Route
from cicadacourse.util.clock import now
from standins.memory_cluster import memory_cluster

NAMES = ["e1", "e2", "e3", "e4", "e5", "e6"]
RATE, BURST, SLICE_LIFE_S = 1000.0, 5000.0, 2.0
ROUTE = Route(name="chat", pool="p", organisation_rate=RATE, organisation_burst=BURST)


def running(make, names=NAMES, *sections, seed=1):
    """Runs instances with membership and limits."""
    return memory_cluster(names, [Membership, make], *sections, seed=seed)


@attrs.define
class Judge:
    """A naive central bucket: how far what was admitted is over the rate, at most."""

    rate: float = RATE
    admitted: float = 0.0
    refused: int = 0
    most_excess: float = 0.0
    _excess: float = 0.0
    _at: float = 0.0

    def note(self, tokens):
        """Takes in an admission of now."""
        drained = self.rate * (now() - self._at)
        self._excess = max(0.0, self._excess - drained) + tokens
        self._at = now()
        self.admitted += tokens
        self.most_excess = max(self.most_excess, self._excess)


async def send(cluster, name, judge, organisation, per_s, tokens, seconds, seed=1):
    """Sends requests of one organisation to one instance, if it runs."""
    chooser = random.Random(f"{name} {organisation} {seed}")
    end = now() + seconds
    while now() < end:
        await asyncio.sleep(chooser.expovariate(per_s))
        if name not in cluster.app_by_name:
            continue
        limits = cluster.get(name, "limits")
        result = await limits.admit(organisation, ROUTE, tokens, now() + 10)
        if isinstance(result, Success):
            judge.note(tokens)
        else:
            assert result.failure().retry_after_s > 0
            judge.refused += 1


async def send_everywhere(cluster, judge, organisation, per_s, tokens, seconds):
    """Sends the same load to every instance at once."""
    await asyncio.gather(
        *(
            send(cluster, name, judge, organisation, per_s, tokens, seconds)
            for name in NAMES
        )
    )
