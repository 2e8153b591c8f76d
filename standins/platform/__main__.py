"""``python -m standins.platform``: serves a small deployment to try the program on."""

from __future__ import annotations

import argparse
import asyncio

from standins.platform._configuration import make_configuration
from standins.platform._fleet import Fleet

DOMAINS = ("a", "b", "c")


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="standins.platform", description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--plains", type=int, default=3)
    return parser


async def serve(arguments: argparse.Namespace) -> None:
    """Serves a configured deployment until it is interrupted."""
    fleet = Fleet(arguments.host)
    async with fleet.running():
        for number in range(arguments.engines):
            fleet.add_engine(f"engine-{number}", DOMAINS[number % len(DOMAINS)])
        for number in range(arguments.plains):
            fleet.add_plain_service(f"plain-{number}", DOMAINS[number % len(DOMAINS)])
        fleet.configure(make_configuration())
        print(f"store for instances: {fleet.store_address}")
        print(f"store for operators: {fleet.operators_address}", flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Runs the deployment."""
    try:
        asyncio.run(serve(get_parser().parse_args()))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
