"""Records which instances got the requests, and when instances had faults."""

from __future__ import annotations

import asyncio

import attrs

from cicadacourse.util.clock import now
from soak._callers import Attempt
from soak._environment import SoakEnvironment

SAMPLE_S = 0.05


@attrs.define
class RequestRecords:
    """What the checks of single instances need to know of a run.

    :ivar attempt_by_id: the attempts of requests that have ended, by the request's id.
    :ivar impaired_at: the moments at which each instance had a fault, by its name.
    """

    attempt_by_id: dict[str, Attempt] = attrs.field(factory=dict)
    impaired_at: dict[str, list[float]] = attrs.field(factory=dict)

    def record(self, attempts: list[Attempt]) -> None:
        """Records all attempts of one request."""
        self.attempt_by_id.update({attempt.id: attempt for attempt in attempts})

    def find_instance(self, request_id: str) -> str | None:
        """Returns the name of the instance that got a request, or None if unknown."""
        attempt = self.attempt_by_id.get(request_id)
        return attempt.instance.name if attempt else None

    def is_impaired(self, name: str, since: float, until: float) -> bool:
        """Returns whether an instance had a fault between two loop times in seconds."""
        return any(since < at_s < until for at_s in self.impaired_at.get(name, ()))

    async def sample_faults(self, environment: SoakEnvironment) -> None:
        """Records the faults of instances until cancelled."""
        while True:
            for instance in environment.instances:
                if instance.fault_window.active_faults:
                    self.impaired_at.setdefault(instance.name, []).append(now())
            await asyncio.sleep(SAMPLE_S)
