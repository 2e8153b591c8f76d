"""``cicadacourse evacuate``: evacuate a failure domain, or take that back."""

from __future__ import annotations

import argparse
import contextlib
import sys

from returns.result import Failure, Success

from cicadacourse.cmd import EXIT_OK
from cicadacourse.cmd._arguments import address_argument
from cicadacourse.cmd._output import run_coroutine
from cicadacourse.cmd.publish import exit_status_of
from cicadacourse.config import parse_name
from cicadacourse.metrics import Metrics
from cicadacourse.platform import Publisher, StoreClient, StoreSettings


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse evacuate",
        description="Have nothing more sent to the endpoints of a failure domain, until"
        " that is withdrawn. `cicadacourse show evacuations` shows what is in force.",
        epilog="exit status: 0 the store holds it, 2 usage, 5 not accepted, 6 outcome"
        " unknown: run it again, which changes nothing if it was accepted",
    )
    add = parser.add_argument
    add("failure_domain", type=parse_name, help="the failure domain's name")
    add(
        "--store",
        required=True,
        type=address_argument,
        help="the store's address for operators",
    )
    add("--withdraw", action="store_true", help="take the request back")
    return parser


def main(argv: list[str]) -> int:
    """Writes the request or its withdrawal; see the parser's epilog."""
    return run_coroutine(_evacuate(get_parser().parse_args(argv)))


async def _evacuate(arguments: argparse.Namespace) -> int:
    settings = StoreSettings(address=arguments.store)
    with contextlib.closing(StoreClient(settings, Metrics())) as store:
        result = await Publisher(store).evacuate(
            arguments.failure_domain, is_in_force=not arguments.withdraw
        )
    match result:
        case Failure(error):
            print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
            return exit_status_of(error)
        case Success(_):
            pass
    state = "no longer evacuated" if arguments.withdraw else "evacuated"
    print(f"failure domain {arguments.failure_domain} is {state}")
    return EXIT_OK
