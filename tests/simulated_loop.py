"""The event loop of tests on a simulated clock whose peers and endpoints are in memory.

Without sockets, nothing reaches the loop from outside. So the loop needs none of the
turns that looptime makes before it moves the clock, 42 by default.
"""

from __future__ import annotations

import asyncio

import looptime

TURNS_BEFORE_MOVE = 2


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a loop whose clock moves to the next timer once nothing is ready."""
    return looptime.new_event_loop(noop_cycles=TURNS_BEFORE_MOVE)
