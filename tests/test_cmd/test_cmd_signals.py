"""A process that is asked to leave twice leaves with status 0."""

from __future__ import annotations

import os
import signal

import pytest

from cicadacourse.cmd._signals import STOP_SIGNALS, termination


@pytest.fixture
def restored_signals():
    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


async def test_a_further_signal_while_the_process_ends_is_ignored(restored_signals):
    """Replays soak seed 316: a second SIGTERM ended a process with status -15."""
    with termination() as terminated:
        os.kill(os.getpid(), signal.SIGTERM)
        await terminated.wait()
    for number in STOP_SIGNALS:
        assert signal.getsignal(number) is signal.SIG_IGN
        os.kill(os.getpid(), number)
