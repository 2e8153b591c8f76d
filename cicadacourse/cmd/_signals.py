"""Signal handling for commands that run until they are stopped."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import Iterator

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def termination() -> Iterator[asyncio.Event]:
    """Yields an event that is set on SIGTERM or SIGINT.

    Both signals are ignored after the block: the process is about to exit, and a
    further signal must not change its exit status.
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
