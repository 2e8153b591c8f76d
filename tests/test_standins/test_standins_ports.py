"""Tests that processes which run at the same time get different ports and hosts."""

from __future__ import annotations

import contextlib
import pathlib
import subprocess
import sys
from typing import Iterator

from standins.ports import PORTS_PER_BLOCK, free_port, reserve_port

ROOT = pathlib.Path(__file__).parents[2]
PROGRAM = """
import os, sys

os.getpid = lambda: 7
from standins import ports
print(ports.free_port(), ports.next_host(), flush=True)
sys.stdin.read()
"""


@contextlib.contextmanager
def _running() -> Iterator[list[str]]:
    """Yields the port and the host of a process, which runs until the context ends.

    All processes believe to have the same id.
    """
    command = [sys.executable, "-c", PROGRAM]
    pipe = subprocess.PIPE
    with subprocess.Popen(
        command, cwd=ROOT, stdin=pipe, stdout=pipe, stderr=pipe, text=True
    ) as process:
        yield process.stdout.readline().split()


def test_processes_whose_ids_are_equal_modulo_the_blocks_get_other_ports() -> None:
    with _running() as first, _running() as second, _running() as third:
        ports, hosts = zip(first, second, third)
        assert len({int(port) // 1000 for port in ports}) == 3
        assert len({host.split(".")[1] for host in hosts}) == 3


def test_a_reserved_port_is_returned_by_no_later_call() -> None:
    """Long runs came back to the one port that instances use on all hosts."""
    reserved = reserve_port()
    later = {free_port() for _ in range(2 * PORTS_PER_BLOCK)}
    assert reserved not in later
