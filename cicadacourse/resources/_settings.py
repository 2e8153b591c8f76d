"""Settings of what an instance may use of its machine."""

from __future__ import annotations

import os
import resource

from cicadacourse.config import option, section

BYTES_PER_MB = 1_000_000
# Shares of the descriptors for connections that others make. What they leave is for
# connections to endpoints, instances and the store, and for files.
CALLER_SHARE = 1 / 2
PEER_SHARE = 1 / 8
DIRECTORY_SHARE = 1 / 16
PROBE_SHARE = 1 / 32


@section("resources")
class ResourceSettings:
    """Memory and descriptors of this instance, and how much of them callers may use."""

    memory_mb: int = option(
        int,
        256,
        unit="megabytes",
        minimum=64,
        help="Memory of this instance, of which its machine has at least so much.",
    )
    max_descriptors: int = option(
        int,
        0,
        minimum=0,
        help="Descriptors of this instance; 0 for the limit of its process.",
    )
    held_share: float = option(
        float,
        0.4,
        minimum=0.01,
        maximum=0.9,
        help="Share of the memory that may be held for callers.",
    )
    body_idle_s: float = option(
        float,
        15.0,
        unit="seconds",
        minimum=0.1,
        help="Longest pause between two parts of a body; deadlines are mostly shorter.",
    )
    answer_idle_s: float = option(
        float,
        30.0,
        unit="seconds",
        minimum=0.1,
        help="Longest time in which a caller reads nothing of its answer.",
    )

    @property
    def memory_bytes(self) -> int:
        """The memory of this instance in bytes."""
        return self.memory_mb * BYTES_PER_MB

    @property
    def descriptors(self) -> int:
        """How many descriptors this instance may have open."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            limit = os.sysconf("SC_OPEN_MAX")
        return min(self.max_descriptors, limit) if self.max_descriptors else limit

    @property
    def caller_connections(self) -> int:
        """How many callers may be connected."""
        return self._share(CALLER_SHARE)

    @property
    def peer_connections(self) -> int:
        """How many connections of other instances may be open."""
        return self._share(PEER_SHARE)

    @property
    def directory_connections(self) -> int:
        """How many connections for look-ups may be open."""
        return self._share(DIRECTORY_SHARE)

    @property
    def probe_connections(self) -> int:
        """How many connections for probes may be open, and as many for operators."""
        return self._share(PROBE_SHARE)

    def _share(self, share: float) -> int:
        return max(1, int(share * self.descriptors))
