"""``python -m soak._linked_instance ADDRESS serve``: an instance behind a proxy.

The program runs as it is, except that it listens for other instances at ADDRESS. They
connect to the address in its settings, where a proxy listens.
"""

from __future__ import annotations

import sys

from cicadacourse.cmd import main
from cicadacourse.peers import _listener


def run(listen_address: str, arguments: list[str]) -> int:
    """Runs the program and returns its exit status."""
    make_socket = _listener._listening_socket
    _listener._listening_socket = lambda address: make_socket(listen_address)
    return main(arguments)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], sys.argv[2:]))
