"""``python -m soak._partitioned_instance HOST FILE serve``: its links can be cut.

The program runs as it is, except that it connects from HOST, by which proxies know it.
FILE has a line for each address to which no connection can be made, ``IP:port`` and
``hang`` or ``refuse``.
"""

from __future__ import annotations

import pathlib
import sys
from typing import Any, Awaitable, Callable

from cicadacourse.cmd import main
from cicadacourse.util.clock import BoottimeEventLoop

HANG = "hang"
REFUSE = "refuse"


def run(host: str, cuts: pathlib.Path, arguments: list[str]) -> int:
    """Runs the program and returns its exit status."""
    connect = cut_connections(BoottimeEventLoop.create_connection, host, cuts)
    setattr(BoottimeEventLoop, "create_connection", connect)
    return main(arguments)


def cut_connections(
    connect: Any, host: str, cuts: pathlib.Path
) -> Callable[..., Awaitable[Any]]:
    """Returns an event loop's method that connects from a host as a file allows."""

    async def create_connection(
        loop: Any, factory: Any, target: str = "", port: int = 0, **keywords: Any
    ) -> Any:
        if "sock" in keywords:
            # A connection that was accepted is not cut.
            return await connect(loop, factory, **keywords)
        fault = _read_faults(cuts).get(f"{target}:{port}")
        if fault == REFUSE:
            raise ConnectionRefusedError("the link is cut")
        if fault == HANG:
            await loop.create_future()
        return await connect(loop, factory, target, port, local_addr=(host, 0))

    return create_connection


def _read_faults(cuts: pathlib.Path) -> dict[str, str]:
    if not cuts.exists():
        return {}
    lines = cuts.read_text().splitlines()
    return {address: fault for address, fault in (line.split() for line in lines)}


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], pathlib.Path(sys.argv[2]), sys.argv[3:]))
