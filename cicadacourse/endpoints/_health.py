"""How one endpoint is judged from the calls made to it."""

from __future__ import annotations

import random

import attrs

from cicadacourse.endpoints._settings import EndpointSettings

JITTER = 0.2


@attrs.define
class Health:
    """Failures in a row and the ejection that they led to.

    After an ejection the endpoint is on probation: one more failure ejects it
    again for twice as long, one success clears it.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    leaving_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Whether the endpoint gets no work for its failures."""
        return now < self.ejected_until

    def is_leaving(self, now: float) -> bool:
        """Whether the endpoint itself said that it is leaving."""
        return now < self.leaving_until

    def succeed(self) -> None:
        """Notes a call that the endpoint answered."""
        self.failures = 0
        self.ejections = 0

    def fail(self, settings: EndpointSettings) -> bool:
        """Notes a failed call; returns whether the endpoint should be ejected."""
        self.failures += 1
        on_probation = self.ejections > 0
        return on_probation or self.failures >= settings.eject_failures

    def eject(self, now: float, settings: EndpointSettings, rng: random.Random) -> None:
        """Takes the endpoint out for a time that doubles with each ejection."""
        length_s = settings.eject_base_s * 2 ** min(self.ejections, 16)
        length_s = min(length_s, settings.eject_max_s)
        self.ejected_until = now + length_s * rng.uniform(1 - JITTER, 1 + JITTER)
        self.ejections += 1
        self.failures = 0
