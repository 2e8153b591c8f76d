"""``python -m standins.weight_store``: serve the weight store."""

from __future__ import annotations

import argparse
import sys

from standins._http import get_parser, run, serve
from standins.weight_store._core import (
    DEFAULT_BURST,
    DEFAULT_LOADS_PER_S,
    WeightStoreCore,
)
from standins.weight_store._http import weight_store_app


async def serve_weight_store(arguments: argparse.Namespace) -> None:
    """Serves the weight store until the process is told to stop."""
    core = WeightStoreCore(arguments.loads_per_s, arguments.burst)
    await serve(weight_store_app(core), arguments.address)


def main(argv: list[str]) -> int:
    """Runs the program; exit status 0."""
    parser = get_parser("standins.weight_store", "Serve the weight store.")
    parser.add_argument("--loads-per-s", type=float, default=DEFAULT_LOADS_PER_S)
    parser.add_argument("--burst", type=float, default=DEFAULT_BURST)
    arguments = parser.parse_args(argv)
    run(lambda: serve_weight_store(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
