"""Arguments that several commands share: addresses and the files of the tables."""

from __future__ import annotations

import argparse
import pathlib
from typing import Any, Callable

from returns.result import Failure, Result, Success

from cicadacourse.catalog import Catalog
from cicadacourse.cmd._settings import read_text
from cicadacourse.config import EXPECTED_BY_PARSER, parse_address, parse_addresses
from cicadacourse.errors import Error
from cicadacourse.tables import TableTexts, parse_tables


def _argument(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Adapts a parser of option texts to argparse, with its error message."""

    def parse_argument(text: str) -> Any:
        try:
            return parse(text)
        except ValueError:
            expected = EXPECTED_BY_PARSER[parse]
            raise argparse.ArgumentTypeError(f"expected {expected}") from None

    return parse_argument


address_argument = _argument(parse_address)
addresses_argument = _argument(parse_addresses)


def add_table_arguments(parser: argparse.ArgumentParser, required: bool) -> None:
    """Adds the arguments that name the files of the tables.

    :param required: whether ``--routes`` and ``--pools`` must be given.
    """
    add = parser.add_argument
    add("--routes", type=pathlib.Path, required=required, help="table of routes, INI")
    add("--pools", type=pathlib.Path, required=required, help="table of pools, INI")
    add("--organisations", type=pathlib.Path, help="table of organisations, INI")


def read_tables(arguments: argparse.Namespace) -> Result[Catalog, list[Error]]:
    """Reads and checks the files named by the arguments of the tables.

    :returns: the catalogue, or every error found.
    """
    paths = (arguments.routes, arguments.pools, arguments.organisations)
    results = [Success(None) if path is None else read_text(path) for path in paths]
    failures = [item.failure() for item in results if isinstance(item, Failure)]
    if failures:
        return Failure([error for errors in failures for error in errors])
    routes, pools, organisations = (item.unwrap() for item in results)
    return parse_tables(
        TableTexts(
            routes=routes or "",
            pools=pools or "",
            organisations=organisations,
            routes_file=str(arguments.routes),
            pools_file=str(arguments.pools),
            organisations_file=str(arguments.organisations),
        )
    )
