"""Tests of the signal handling of commands that run until they are stopped."""

from __future__ import annotations

import os
import signal

import pytest

from cicadacourse.cmd import EXIT_USAGE, serve
from cicadacourse.cmd._signals import STOP_SIGNALS, termination


@pytest.fixture
def restored_signals():
    numbers = (*STOP_SIGNALS, signal.SIGHUP)
    handlers = {number: signal.getsignal(number) for number in numbers}
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


async def test_a_reload_signal_while_the_process_exits_is_ignored(
    restored_signals: None,
) -> None:
    """Its default action ends a process whose services have stopped."""
    with serve._logging_reloads():
        assert signal.getsignal(signal.SIGHUP) is not signal.SIG_DFL
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN


def test_a_reload_signal_while_the_process_starts_is_ignored(
    restored_signals: None,
) -> None:
    """Its default action ends a process that does not handle it yet."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    assert serve.main(["--settings", "/nowhere/at/all.ini"]) == EXIT_USAGE
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
