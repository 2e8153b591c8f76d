"""Detects that this instance was paused."""

from __future__ import annotations

from typing import Callable

from cicadacourse.util.clock import now


class PauseDetector:
    """Detects the times in which the event loop did not run.

    :param limit_s: a longer stall counts as a pause, in seconds.
    :param on_pause: called with the length of each pause, in seconds.
    :ivar count: the number of pauses.
    """

    def __init__(self, limit_s: float, on_pause: Callable[[float], None]) -> None:
        self.count = 0
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._last_tick_s: float | None = None

    @property
    def is_running(self) -> bool:
        """Whether the detector was started and has not been stopped."""
        return self._last_tick_s is not None

    def start(self) -> None:
        """Counts the time from now on."""
        self._last_tick_s = now()

    def stop(self) -> None:
        """Detects no further pauses."""
        self._last_tick_s = None

    def detect(self) -> None:
        """Reports a pause since the last call, if there was one.

        This is called before each action on the view, as a pause outdates the view.
        """
        if self._last_tick_s is None:
            return
        paused_s = now() - self._last_tick_s
        self._last_tick_s = now()
        if paused_s > self._limit_s:
            self.count += 1
            self._on_pause(paused_s)
