"""The command line: one module per sub-command."""

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

COMMANDS = ("entry", "check", "publish", "show", "ask", "version")


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command line.

    Each module of :data:`COMMANDS` has ``get_parser()``, whose result is used as a
    parent, and ``main(argv)``, which returns the exit status.
    """
    parser = argparse.ArgumentParser(
        prog="cicadacourse", description="Serving layer for language-model engines."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("command", choices=COMMANDS, help="what to do")
    parser.add_argument("rest", nargs=argparse.REMAINDER, help=argparse.SUPPRESS)
    return parser


def main(argv: list[str]) -> int:
    """Runs one sub-command and returns its exit status."""
    arguments = get_parser().parse_args(argv)
    module = importlib.import_module(f"cicadacourse.cmd.{arguments.command}")
    return module.main(arguments.rest)


def run() -> None:
    """Runs the command line of the process; used by the binary."""
    sys.exit(main(sys.argv[1:]))
