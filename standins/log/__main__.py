"""``python -m standins.log``: serve the log."""

from __future__ import annotations

import argparse
import sys
import time

from cicadacourse.util.clock import now
from standins._http import get_parser, run, serve
from standins.log._core import DEFAULT_APPENDS_PER_S, DEFAULT_RETENTION_S, LogCore
from standins.log._http import log_app


async def serve_log(arguments: argparse.Namespace) -> None:
    """Serves the log until the process is told to stop."""
    core = LogCore(
        arguments.retention_s,
        arguments.appends_per_s,
        wall_offset_s=time.time() - now(),
        seed=arguments.seed,
    )
    await serve(log_app(core), arguments.address)


def main(argv: list[str]) -> int:
    """Runs the program; exit status 0."""
    parser = get_parser("standins.log", "Serve the log.")
    parser.add_argument("--retention-s", type=float, default=DEFAULT_RETENTION_S)
    parser.add_argument("--appends-per-s", type=float, default=DEFAULT_APPENDS_PER_S)
    arguments = parser.parse_args(argv)
    run(lambda: serve_log(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
