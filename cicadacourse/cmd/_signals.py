"""How commands that run until they are stopped hear that they are."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import Iterator

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def termination() -> Iterator[asyncio.Event]:
    """Yields an event that SIGTERM or SIGINT sets.

    Afterwards the process is about to end, and further signals must not change its
    exit status.
    """
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, terminated.set)
    try:
        yield terminated
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
