"""An event loop whose clock includes the time for which the machine was suspended."""

from __future__ import annotations

import asyncio
import time

MS_PER_S = 1000
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock continues while the process or machine is paused.

    The holder of a lease therefore sees its lease expire even after such a pause. On
    systems without ``CLOCK_BOOTTIME`` the clock is ``CLOCK_MONOTONIC``,
    which may stop meanwhile.
    """

    def time(self) -> float:
        """Returns the clock's time in seconds."""
        return time.clock_gettime(_CLOCK_ID)


def now() -> float:
    """Returns the running event loop's time in seconds."""
    return asyncio.get_running_loop().time()
