"""``python -m standins.instance_list``: serve the instance list."""

from __future__ import annotations

import argparse
import sys

from standins._http import get_parser, run, serve
from standins.instance_list._core import DEFAULT_LAG_S, InstanceListCore
from standins.instance_list._http import instance_list_app


async def serve_instance_list(arguments: argparse.Namespace) -> None:
    """Serves the instance list until the process is told to stop."""
    core = InstanceListCore(arguments.lag_s)
    await serve(instance_list_app(core), arguments.address)


def main(argv: list[str]) -> int:
    """Runs the program; exit status 0."""
    parser = get_parser("standins.instance_list", "Serve the instance list.")
    parser.add_argument("--lag-s", type=float, default=DEFAULT_LAG_S)
    arguments = parser.parse_args(argv)
    run(lambda: serve_instance_list(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
