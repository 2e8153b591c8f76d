"""``cicadacourse check``: check settings and tables before they are used."""

from __future__ import annotations

import argparse
import pathlib

from returns.result import Failure

from cicadacourse.cmd import EXIT_ERROR, EXIT_OK
from cicadacourse.cmd._arguments import add_table_arguments, read_tables
from cicadacourse.cmd._output import print_json
from cicadacourse.cmd._services import import_services
from cicadacourse.cmd._settings import read_settings
from cicadacourse.errors import Error


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse check",
        description="Check instances' settings and the tables.",
        epilog="exit status: 0 all valid, 1 errors found, 2 usage",
    )
    add = parser.add_argument
    add("settings", nargs="*", type=pathlib.Path, help="settings files")
    add_table_arguments(parser, required=False)
    add("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str]) -> int:
    """Checks the files, prints one line for each error, and returns the exit status."""
    parser = get_parser()
    arguments = parser.parse_args(argv)
    if bool(arguments.routes) != bool(arguments.pools):
        parser.error("--routes and --pools must be given together")
    if arguments.organisations and not arguments.routes:
        parser.error("--organisations needs --routes and --pools")
    if not arguments.settings and not arguments.routes:
        parser.error("no settings files and no tables to check")
    import_services()
    errors: list[Error] = []
    for path in arguments.settings:
        errors.extend(_get_errors(read_settings(path)))
    if arguments.routes:
        errors.extend(_get_errors(read_tables(arguments)))
    _print(arguments.json, errors)
    return EXIT_ERROR if errors else EXIT_OK


def _get_errors(result: object) -> list[Error]:
    return result.failure() if isinstance(result, Failure) else []


def _print(as_json: bool, errors: list[Error]) -> None:
    if as_json:
        print_json({"valid": not errors, "errors": [e.detail for e in errors]})
        return
    for error in errors:
        print(error.detail)
    if not errors:
        print("all valid")
