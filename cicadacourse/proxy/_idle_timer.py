"""Ends an exchange whose sender makes no more calls."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Callable, Iterator


class IdleTimer:
    """Calls a function once no call has been in progress for a time.

    :param on_idle: the function, which is called at most once.
    :param idle_s: the time in seconds.
    """

    def __init__(self, on_idle: Callable[[], None], idle_s: float) -> None:
        self.idle_s = idle_s
        self._on_idle = on_idle
        self._calls = 0
        self._handle: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def in_call(self) -> Iterator[None]:
        """Stops the timer while a call is in progress."""
        self._calls += 1
        self.stop()
        try:
            yield
        finally:
            self._calls -= 1
            if not self._calls:
                loop = asyncio.get_running_loop()
                self._handle = loop.call_later(self.idle_s, self._on_idle)

    def stop(self) -> None:
        """Stops the timer until the end of the next call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
