"""Settings of what an instance may use of its machine."""

from __future__ import annotations

import os
import resource

from cicadacourse.config import option, section

BYTES_PER_MB = 1_000_000


@section("resources")
class ResourceSettings:
    """Memory and descriptors of this instance, and how much of them callers may use."""

    memory_mb: int = option(
        int,
        0,
        unit="megabytes",
        minimum=0,
        help="Memory of this instance; 0 for all of its machine's.",
    )
    max_descriptors: int = option(
        int,
        0,
        minimum=0,
        help="Descriptors of this instance; 0 for the limit of its process.",
    )

    @property
    def memory_bytes(self) -> int:
        """The memory of this instance in bytes."""
        if self.memory_mb:
            return self.memory_mb * BYTES_PER_MB
        return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")

    @property
    def descriptors(self) -> int:
        """How many descriptors this instance may have open."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            limit = os.sysconf("SC_OPEN_MAX")
        return min(self.max_descriptors, limit) if self.max_descriptors else limit
