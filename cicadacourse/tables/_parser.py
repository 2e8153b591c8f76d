"""Reads and checks the INI text of both tables."""

from __future__ import annotations

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.config import EXPECTED_BY_PARSER, parse_name, parse_section, read_ini
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.registry import suggest
from cicadacourse.tables._model import Pool, Route, Tables

MAX_TABLE_BYTES = 1_000_000

ROUTES_FILE = "routes.ini"
POOLS_FILE = "pools.ini"


def parse_tables(
    routes: str,
    pools: str,
    routes_file: str = ROUTES_FILE,
    pools_file: str = POOLS_FILE,
) -> Result[Tables, list[Error]]:
    """Parses both tables and checks that they fit each other.

    :param routes: text with a section ``[route NAME]`` per route.
    :param pools: text with a section ``[pool NAME]`` per pool.
    :param routes_file: the file's name, for messages.
    :param pools_file: the file's name, for messages.
    :returns: tables without a version, or every error found, each naming file,
        section, option, value and what was expected.
    """
    errors: list[Error] = []
    routes_by_name = _parse_rows(Route, "route", routes_file, routes, errors)
    pools_by_name = _parse_rows(Pool, "pool", pools_file, pools, errors)
    if not errors:
        errors.extend(_check_pools(routes_by_name, pools_by_name, routes_file))
    if errors:
        return Failure([attrs.evolve(e, kind=ErrorKind.INVALID_TABLES) for e in errors])
    return Success(Tables(routes_by_name=routes_by_name, pools_by_name=pools_by_name))


def _parse_rows(
    cls: type, word: str, file: str, text: str, errors: list[Error]
) -> dict[str, object]:
    """Parses the sections of one table; adds what is wrong to ``errors``."""
    if len(text.encode()) > MAX_TABLE_BYTES:
        errors.append(_error(file, f"expected at most {MAX_TABLE_BYTES} bytes"))
        return {}
    match read_ini(file, text):
        case Failure(found):
            errors.extend(found)
            return {}
        case Success(texts_by_section):
            pass
    rows_by_name: dict[str, object] = {}
    for section, texts_by_option in texts_by_section.items():
        name = _parse_title(section, word, file, errors)
        match parse_section(cls, file, section, texts_by_option):
            case Failure(found):
                errors.extend(found)
            case Success(row) if name:
                if name in rows_by_name:
                    errors.append(_error(file, f"[{section}]: is there twice"))
                rows_by_name[name] = attrs.evolve(row, name=name)
    return rows_by_name


def _parse_title(section: str, word: str, file: str, errors: list[Error]) -> str:
    """Returns the name in a section's title, or an empty one if it is wrong."""
    first, _, name = section.partition(" ")
    if first != word:
        hint = suggest(first, [word])
        errors.append(_error(file, f"[{section}]: expected [{word} NAME]{hint}"))
        return ""
    try:
        return parse_name(name.strip())
    except ValueError:
        expected = EXPECTED_BY_PARSER[parse_name]
        errors.append(_error(file, f"[{section}]: expected {expected}"))
        return ""


def _check_pools(
    routes_by_name: dict[str, Route], pools_by_name: dict[str, Pool], file: str
) -> list[Error]:
    """Checks that routes name pools that exist and agree on their pool's kind."""
    errors = []
    first_by_pool: dict[str, Route] = {}
    for route in routes_by_name.values():
        where = f"[route {route.name}]"
        if route.pool not in pools_by_name:
            hint = suggest(route.pool, pools_by_name)
            detail = f"{where} pool = {route.pool!r}: expected a pool's name{hint}"
            errors.append(_error(file, detail))
            continue
        first = first_by_pool.setdefault(route.pool, route)
        if first.kind != route.kind:
            detail = (
                f"{where} kind = {route.kind!r}: expected {first.kind!r}, "
                f"as [route {first.name}] has with the same pool {route.pool!r}"
            )
            errors.append(_error(file, detail))
    return errors


def _error(file: str, detail: str) -> Error:
    return Error(ErrorKind.INVALID_TABLES, f"{file}: {detail}")
