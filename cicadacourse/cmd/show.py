"""``cicadacourse show``: show instances, endpoints, routes and organisations."""

from __future__ import annotations

import argparse
import contextlib

import attrs
from returns.result import Failure, Success

from cicadacourse.cmd import EXIT_ERROR, EXIT_OK
from cicadacourse.cmd._arguments import addresses_argument
from cicadacourse.cmd._output import format_table, print_json, run_coroutine
from cicadacourse.cmd._status import fetch_first_status
from cicadacourse.gateway import InstanceStatus
from cicadacourse.util.http import HttpClient

FIELD_BY_SUBJECT = {
    "instances": "members",
    "endpoints": "endpoints",
    "routes": "routes",
    "organisations": "organisations",
    "evacuations": "evacuations",
    "held": "held",
}
ALL = "all"


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse show",
        description="Show instances with the configuration version in force on each, "
        "endpoints, routes, organisations and what is held for callers.",
        epilog="exit status: 0 shown, 1 no instance answered, 2 usage",
    )
    add = parser.add_argument
    add("subject", nargs="?", choices=(*FIELD_BY_SUBJECT, ALL), default=ALL)
    add(
        "--instances",
        required=True,
        type=addresses_argument,
        metavar="ADDR,...",
        help="metrics addresses of some instances; the first that answers is asked",
    )
    add("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str]) -> int:
    """Shows the subject as the first instance that answers reports it."""
    return run_coroutine(_show(get_parser().parse_args(argv)))


async def _show(arguments: argparse.Namespace) -> int:
    with contextlib.closing(HttpClient()) as http:
        match await fetch_first_status(http, arguments.instances):
            case Failure(error):
                print(error.detail)
                return EXIT_ERROR
            case Success(status):
                pass
    if arguments.json:
        print_json(attrs.asdict(status))
        return EXIT_OK
    _print(status, arguments.subject)
    return EXIT_OK


def _print(status: InstanceStatus, selected: str) -> None:
    print(
        f"{status.instance} has version {status.configuration_version} in force"
        f" for {status.configuration_age_s:g} s"
        f"{', and is leaving' if status.is_leaving else ''}"
    )
    print(
        f"{sum(item.held_bytes for item in status.held)} of {status.held_limit_bytes}"
        f" bytes are held for callers, {status.held_waiting} wait for room\n"
    )
    for subject, field in FIELD_BY_SUBJECT.items():
        if selected not in (subject, ALL):
            continue
        rows = [attrs.asdict(item) for item in getattr(status, field)]
        print(f"{subject} (as {status.instance} sees them)")
        print(format_table(rows) if rows else "none")
        print()
