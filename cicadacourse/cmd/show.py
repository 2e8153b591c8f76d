"""``cicadacourse show``: show what a running fleet looks like."""

from __future__ import annotations

import argparse
import contextlib
from typing import Any

from returns.result import Failure, Success

from cicadacourse.cmd import EXIT_ERROR, EXIT_OK
from cicadacourse.cmd._arguments import addresses_argument
from cicadacourse.cmd._output import format_table, print_json, run_coroutine
from cicadacourse.cmd._status import fetch_first_status, fetch_versions
from cicadacourse.util.http import HttpClient

SUBJECTS = ("instances", "endpoints", "tables", "leases", "organisations")
ALL = "all"


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse show",
        description="Show instances, endpoints, tables, leases and organisations.",
        epilog="exit status: 0 shown, 1 no instance answered, 2 usage",
    )
    add = parser.add_argument
    add("subject", nargs="?", choices=(*SUBJECTS, ALL), default=ALL)
    add(
        "--instances",
        required=True,
        type=addresses_argument,
        metavar="ADDR,...",
        help="caller addresses of some instances; the first that answers is asked",
    )
    add("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str]) -> int:
    """Shows the subject as the first instance that answers sees it."""
    return run_coroutine(_show(get_parser().parse_args(argv)))


async def _show(arguments: argparse.Namespace) -> int:
    with contextlib.closing(HttpClient()) as http:
        match await fetch_first_status(http, arguments.instances):
            case Failure(error):
                print(error.detail)
                return EXIT_ERROR
            case Success(status):
                versions_by_name = await fetch_versions(http, arguments.instances)
    rows_by_subject = _get_rows(status, versions_by_name)
    wanted = SUBJECTS if arguments.subject == ALL else (arguments.subject,)
    shown = {subject: rows_by_subject[subject] for subject in wanted}
    if arguments.json:
        print_json({"instance": status.get("instance"), **shown})
        return EXIT_OK
    for subject, rows in shown.items():
        print(f"{subject} (as {status.get('instance')} sees them)")
        print(format_table(rows) if rows else "none")
        print()
    return EXIT_OK


def _get_rows(
    status: dict[str, Any], versions_by_name: dict[str, int | None]
) -> dict[str, list[dict[str, Any]]]:
    """Returns the rows to show by subject."""
    tables = [
        {"instance": name, "version": version, "answers": version is not None}
        for name, version in sorted(versions_by_name.items())
    ]
    return {
        "instances": status.get("members", []),
        "endpoints": status.get("endpoints", []),
        "tables": tables,
        "leases": status.get("leases", []),
        "organisations": status.get("organisations", []),
    }
