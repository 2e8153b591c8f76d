"""The command line; each sub-command is a module of this package."""

from __future__ import annotations

import argparse
import importlib
import sys

from cicadacourse import __version__

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_REFUSED = 5
EXIT_UNKNOWN = 6

SUMMARY_BY_COMMAND = {
    "serve": "run one instance",
    "check": "check settings and tables",
    "publish": "put new tables in force, or fetch those in force",
    "evacuate": "evacuate a failure domain, or take that back",
    "show": "show instances, endpoints, routes and organisations",
    "ask": "send one request as a caller would",
    "explain": "explain how one request ended, from instances' logs",
    "version": "print the version",
}


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line.

    The module of a sub-command defines ``get_parser()`` and ``main(argv)``, which
    returns the exit status.
    """
    lines = [f"  {name:10} {text}" for name, text in SUMMARY_BY_COMMAND.items()]
    parser = argparse.ArgumentParser(
        prog="cicadacourse",
        description="Serving layer for language-model engines.",
        epilog="\n".join(["commands:", *lines, "", "each command has --help"]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "command", choices=SUMMARY_BY_COMMAND, metavar="command", help="what to do"
    )
    parser.add_argument("rest", nargs=argparse.REMAINDER, help=argparse.SUPPRESS)
    return parser


def main(argv: list[str]) -> int:
    """Runs one sub-command and returns its exit status."""
    arguments = get_parser().parse_args(argv)
    module = importlib.import_module(f"cicadacourse.cmd.{arguments.command}")
    return module.main(arguments.rest)


def run() -> None:
    """Runs the process's command line and exits; entry point of the script."""
    sys.exit(main(sys.argv[1:]))
