"""Loopback addresses and ports for listeners that nothing else uses."""

from __future__ import annotations

import functools
import itertools
import os
import socket
from typing import Iterator

import attrs

# Each process claims one of these blocks and takes its ports from it. All lie below
# the kernel's ephemeral ports (32768 and up by default), so no outgoing connection
# takes one.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 1000
BLOCKS = 20

_host_numbers = itertools.count(2)


@attrs.frozen
class _Block:
    """A block of ports that no other process uses.

    :param number: its number, from 0.
    :param claim: bound to the block's first port while this process lives.
    :param ports: its ports, over and over.
    :ivar reserved_ports: those that are returned no more.
    """

    number: int
    claim: socket.socket
    ports: Iterator[int]
    reserved_ports: set[int] = attrs.field(factory=set)


@functools.cache
def _claim_block() -> _Block:
    """Claims a block for this process at its first call.

    :raises AssertionError: if other processes have claimed all blocks.
    """
    for offset in range(BLOCKS):
        number = (os.getpid() + offset) % BLOCKS
        first_port = FIRST_PORT + number * PORTS_PER_BLOCK
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first_port))
        except OSError:
            claim.close()
            continue
        ports = itertools.cycle(range(first_port + 1, first_port + PORTS_PER_BLOCK))
        return _Block(number, claim, ports)
    raise AssertionError(f"all {BLOCKS} blocks of ports are claimed")


def next_host() -> str:
    """Returns a loopback IP address that nothing else uses.

    :raises AssertionError: if other processes have claimed all blocks of ports.
    """
    return f"127.{_claim_block().number + 10}.{next(_host_numbers) % 250 + 1}.1"


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free on a host.

    Two calls in one process return the same port only after all others of its block,
    and no outgoing connection takes it. Other processes get ports of other blocks.

    :raises AssertionError: if no port of this process's block is free, or no block.
    """
    block = _claim_block()
    for port in itertools.islice(block.ports, PORTS_PER_BLOCK - 1):
        if port in block.reserved_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError(f"no port is free on {host}")


def reserve_port() -> int:
    """Returns a port that no later call returns, to be used on many hosts."""
    port = free_port()
    _claim_block().reserved_ports.add(port)
    return port
