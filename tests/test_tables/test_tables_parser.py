"""Tests of the parser of both tables."""

import pytest
from returns.result import Failure

from cicadacourse.errors import ErrorKind
from cicadacourse.tables import parse_tables

ROUTES = "[route ask]\npool = big\n[route book]\npool = seats\nkind = call\n"
POOLS = "[pool big]\ngroup = engines\n[pool seats]\ngroup = seats\n"


def test_valid_tables():
    tables = parse_tables(ROUTES, POOLS).unwrap()
    assert tables.routes_by_name["book"].kind == "call"
    assert tables.pools_by_name["big"].group == "engines"


@pytest.mark.parametrize(
    ("routes", "pools", "message"),
    [
        (
            ROUTES.replace("big", "bag"),
            POOLS,
            "routes.ini: [route ask] pool = 'bag': expected a pool's name; "
            "did you mean 'big'?",
        ),
        (
            ROUTES.replace("seats", "big"),
            POOLS,
            "routes.ini: [route book] kind = 'call': expected 'generate'",
        ),
        (ROUTES.replace("[route ask", "[rout ask"), POOLS, "expected [route NAME]"),
        (ROUTES.replace("[route ask", "[route a/b"), POOLS, "expected a name"),
        (ROUTES.replace("pool = big", ""), POOLS, "[route ask] pool: missing"),
        (ROUTES, POOLS.replace("group", "grop", 1), "did you mean 'group'?"),
        (ROUTES, POOLS + "long_share = 2\n", "long_share = '2': expected a number"),
        (ROUTES, POOLS + "long_share = nan\n", "expected a number"),
        (ROUTES, POOLS + "group = again\n", "pools.ini: "),
        (ROUTES + "[route ask ]\npool = big\n", POOLS, "is there twice"),
        ("\x00", POOLS, "routes.ini: "),
        (ROUTES, "#" * 1_000_001, "pools.ini: expected at most 1000000 bytes"),
    ],
)
def test_an_error_names_file_section_option_value_and_what_was_expected(
    routes, pools, message
):
    result = parse_tables(routes, pools)
    assert isinstance(result, Failure)
    assert all(e.kind is ErrorKind.INVALID_TABLES for e in result.failure())
    assert any(message in error.detail for error in result.failure())
