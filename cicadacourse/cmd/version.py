"""``cicadacourse version``: print the version."""

from __future__ import annotations

import argparse
import json

from cicadacourse import __version__


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse version", description="Print the version."
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str]) -> int:
    """Prints the version; exit status 0."""
    arguments = get_parser().parse_args(argv)
    if arguments.json:
        print(json.dumps({"version": __version__}))
    else:
        print(__version__)
    return 0
