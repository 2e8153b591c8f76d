"""What the commands' arguments share: parsers of values and checks of tables."""

from __future__ import annotations

import argparse
from typing import Any, Callable

from returns.result import Failure, Result, Success

from cicadacourse.config import EXPECTED_BY_PARSER, parse_address, parse_addresses
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.registry import suggest
from cicadacourse.routing import POLICIES
from cicadacourse.tables import Tables, parse_tables


def _argument(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Returns a parser of an option's value as one of an argument."""

    def parse_argument(text: str) -> Any:
        try:
            return parse(text)
        except ValueError:
            expected = EXPECTED_BY_PARSER[parse]
            raise argparse.ArgumentTypeError(f"expected {expected}") from None

    return parse_argument


address_argument = _argument(parse_address)
addresses_argument = _argument(parse_addresses)


def check_tables(
    routes: str, pools: str, routes_file: str, pools_file: str
) -> Result[Tables, list[Error]]:
    """Parses both tables and checks also what only a whole program knows."""
    match parse_tables(routes, pools, routes_file, pools_file):
        case Failure(errors):
            return Failure(errors)
        case Success(tables):
            errors = _check_policies(tables, pools_file)
    return Failure(errors) if errors else Success(tables)


def _check_policies(tables: Tables, file: str) -> list[Error]:
    return [
        Error(
            ErrorKind.INVALID_TABLES,
            f"{file}: [pool {pool.name}] policy = {pool.policy!r}: "
            f"expected a routing policy{suggest(pool.policy, POLICIES)}",
        )
        for pool in tables.pools_by_name.values()
        if pool.policy not in POLICIES
    ]
