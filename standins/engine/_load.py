"""The load of an engine, as it was some time ago."""

from __future__ import annotations

from collections import deque

from cicadacourse.util.clock import now
from standins.engine._messages import Load

SAMPLES_KEPT = 5_000


class LoadHistory:
    """Samples of the load, the oldest first."""

    def __init__(self, kv_capacity: int) -> None:
        self._kv_capacity = kv_capacity
        self._samples: deque[Load] = deque(maxlen=SAMPLES_KEPT)

    def note(self, kv_used: int, running: int, waiting: int) -> None:
        """Keeps a sample of the load now."""
        self._samples.append(
            Load(
                kv_used=kv_used,
                kv_capacity=self._kv_capacity,
                running=running,
                waiting=waiting,
                measured_at=now(),
            )
        )

    def reported(self, lag_s: float) -> Load:
        """Returns the latest sample that is at least ``lag_s`` seconds old."""
        latest = now() - lag_s
        for sample in reversed(self._samples):
            if sample.measured_at <= latest:
                return sample
        return Load(
            kv_used=0,
            kv_capacity=self._kv_capacity,
            running=0,
            waiting=0,
            measured_at=latest,
        )
