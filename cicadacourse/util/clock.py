"""An event loop whose clock includes the time for which the machine was suspended."""

from __future__ import annotations

import asyncio
import time

MS_PER_S = 1000
# A timer that would fire sooner is set for the tick after the next one.
_MIN_SLEEP_S = 0.001
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


def time_to_tick(period_s: float) -> float:
    """Returns the seconds until the clock is at a multiple of a period.

    Tasks that sleep for it wake the process together, if their periods are equal or
    multiples of each other. Each wake-up costs more than what most of them do.
    """
    left_s = period_s - now() % period_s
    return left_s if left_s >= _MIN_SLEEP_S else left_s + period_s
