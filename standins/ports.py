"""Loopback addresses and ports for listeners that nothing else uses."""

from __future__ import annotations

import itertools
import os
import socket

# Each process takes its ports from one of these blocks. All lie below the kernel's
# ephemeral ports (32768 and up by default), so no outgoing connection takes one.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 1000
BLOCKS = 20

_first_port = FIRST_PORT + os.getpid() % BLOCKS * PORTS_PER_BLOCK
_ports = iter(range(_first_port, _first_port + PORTS_PER_BLOCK))
_host_numbers = itertools.count(2)


def next_host() -> str:
    """Returns a loopback IP address that nothing else in this process uses."""
    return f"127.{os.getpid() % 200 + 10}.{next(_host_numbers) % 250 + 1}.1"


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free on a host.

    Two calls in one process never return the same port, and no outgoing connection
    takes it.

    :raises AssertionError: if no port of this process's block is left.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError(f"no free port is left on {host}")
