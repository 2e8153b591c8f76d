"""Tests of the signal handling of commands that run until they are stopped."""

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


async def test_second_signal_while_the_process_exits_is_ignored(restored_signals):
    """A second SIGTERM during the exit ended a process with status -15 instead of 0.

    Soak seed 316 shows it.
    """
    with termination() as terminated:
        os.kill(os.getpid(), signal.SIGTERM)
        await terminated.wait()
    for number in STOP_SIGNALS:
        assert signal.getsignal(number) is signal.SIG_IGN
        os.kill(os.getpid(), number)
