"""Endpoints that are cold: for some seconds they bear few requests."""

from __future__ import annotations

from cicadacourse.catalog._endpoint import Endpoint
from cicadacourse.catalog._process_memory import ProcessMemory
from cicadacourse.catalog._registry import EndpointRegistry
from cicadacourse.util.clock import now

# Bounds the memory.
MAX_COLD = 2000
# Entries state the time left as of when they were written. A smaller difference between
# two of them may come from when they were read.
MIN_EXTENSION_S = 0.25


class ColdEndpoints:
    """Knows until when the processes of endpoints are cold, by their registry entries.

    An endpoint is cold after its start, and may become so again at any moment.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self._until: ProcessMemory[float] = ProcessMemory(
            registry, MAX_COLD, lambda *_: None
        )
        self._last_until = float("-inf")

    @property
    def has_any(self) -> bool:
        """Whether any endpoint is cold now."""
        return now() < self._last_until

    def record(self, endpoint: Endpoint, left_s: float) -> bool:
        """Records for how many seconds an endpoint is still cold, by its entry.

        A shorter time than the known one does not count, as entries may be repeated
        by other instances late.

        :returns: whether that is news: it was not known to be cold, or not for so long.
        """
        if left_s <= 0.0:
            return False
        was_cold = endpoint in self
        known_until = self._until.find(endpoint) or float("-inf")
        until = max(now() + left_s, known_until)
        self._until.put(self._until.process_of(endpoint), until)
        self._last_until = max(until, self._last_until)
        return not was_cold or until - known_until > MIN_EXTENSION_S

    def __contains__(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is cold now."""
        return self.left_s(endpoint) > 0.0

    def left_s(self, endpoint: Endpoint) -> float:
        """Returns for how many seconds an endpoint is still cold, 0 if it is not."""
        if not self.has_any:
            return 0.0
        until = self._until.find(endpoint)
        return 0.0 if until is None else max(0.0, until - now())
