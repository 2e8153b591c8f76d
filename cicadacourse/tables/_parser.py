"""Parses and validates the INI texts of the tables."""

from __future__ import annotations

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.catalog import (
    CallerLimits,
    Catalog,
    EngineProfile,
    Organisation,
    Pool,
    Route,
)
from cicadacourse.config import EXPECTED_BY_PARSER, parse_name, parse_section, read_ini
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.registry import suggest
from cicadacourse.tables._rows import (
    EngineRow,
    KeysRow,
    LimitsRow,
    OrganisationRow,
    PoolRow,
    RouteRow,
)
from cicadacourse.tables._texts import TableTexts

MAX_TABLE_BYTES = 4_000_000
_LIMITS = "limits"
_KEYS = "keys"
# The sections without a name.
_SINGLE = (_LIMITS, _KEYS)


def parse_tables(texts: TableTexts) -> Result[Catalog, list[Error]]:
    """Parses all tables and checks the references between them.

    :returns: a catalogue of version 0, or every error found, each naming file,
        section, option, value and what was expected.
    """
    parser = _Parser(texts)
    catalog = parser.parse()
    if parser.errors:
        invalid = ErrorKind.INVALID_TABLES
        return Failure([attrs.evolve(error, kind=invalid) for error in parser.errors])
    return Success(catalog)


class _Parser:
    """Collects rows by section keyword and name, and the errors found in them.

    The keyword of the section ``[pool NAME]`` is ``pool``.
    """

    def __init__(self, texts: TableTexts) -> None:
        self.errors: list[Error] = []
        self._texts = texts

    def parse(self) -> Catalog:
        texts = self._texts
        routes = self._parse_rows({"route": RouteRow}, texts.routes_file, texts.routes)
        pools = self._parse_rows(
            {"pool": PoolRow, "engine": EngineRow}, texts.pools_file, texts.pools
        )
        organisations = self._parse_rows(
            {"organisation": OrganisationRow, _LIMITS: LimitsRow, _KEYS: KeysRow},
            texts.organisations_file,
            texts.organisations or "",
        )
        self._check_engines(pools["pool"], pools["engine"])
        self._check_routes(routes["route"], pools["pool"])
        self._check_keys(organisations["organisation"])
        needs_keys = self._check_needs_keys(organisations)
        if self.errors:
            return Catalog(version=0)
        limits = organisations[_LIMITS].get("", LimitsRow())
        return Catalog(
            version=0,
            routes=tuple(_make_route(*item) for item in routes["route"].items()),
            pools=tuple(
                _make_pool(name, row, pools["engine"])
                for name, row in pools["pool"].items()
            ),
            organisations=(
                _make_organisations(organisations["organisation"])
                if needs_keys
                else None
            ),
            limits=CallerLimits(**attrs.asdict(limits)),
        )

    def _parse_rows(
        self, class_by_keyword: dict[str, type], file: str, text: str
    ) -> dict[str, dict[str, Any]]:
        """Parses one file and returns its rows by name for each section keyword."""
        rows_by_keyword: dict[str, dict[str, Any]] = {
            keyword: {} for keyword in class_by_keyword
        }
        if len(text.encode()) > MAX_TABLE_BYTES:
            self._add_error(file, f"expected at most {MAX_TABLE_BYTES} bytes")
            return rows_by_keyword
        match read_ini(file, text):
            case Failure(found):
                self.errors.extend(found)
                return rows_by_keyword
            case Success(texts_by_section):
                pass
        for section, texts_by_option in texts_by_section.items():
            keyword, _, name = section.partition(" ")
            if not self._check_section_name(file, section, class_by_keyword):
                continue
            match parse_section(
                class_by_keyword[keyword], file, section, texts_by_option
            ):
                case Failure(found):
                    self.errors.extend(found)
                case Success(row):
                    if name.strip() in rows_by_keyword[keyword]:
                        self._add_error(file, f"[{section}]: section is defined twice")
                    rows_by_keyword[keyword][name.strip()] = row
        return rows_by_keyword

    def _check_section_name(
        self, file: str, section: str, class_by_keyword: dict[str, type]
    ) -> bool:
        keyword, _, name = section.partition(" ")
        if keyword not in class_by_keyword:
            known = [f"[{item}{_name_part(item)}]" for item in class_by_keyword]
            hint = suggest(keyword, class_by_keyword)
            self._add_error(file, f"[{section}]: expected {' or '.join(known)}{hint}")
            return False
        if keyword in _SINGLE:
            if name:
                self._add_error(file, f"[{section}]: expected [{keyword}]")
            return not name
        try:
            parse_name(name.strip())
        except ValueError:
            expected = EXPECTED_BY_PARSER[parse_name]
            self._add_error(file, f"[{section}]: expected {expected}")
            return False
        return True

    def _check_engines(
        self, pools: dict[str, PoolRow], engines: dict[str, EngineRow]
    ) -> None:
        for name, pool in pools.items():
            if pool.engine and pool.engine not in engines:
                self._add_error(
                    self._texts.pools_file,
                    f"[pool {name}] engine = {pool.engine!r}: expected an engine's"
                    f" name{suggest(pool.engine, engines)}",
                )

    def _check_routes(
        self, routes: dict[str, RouteRow], pools: dict[str, PoolRow]
    ) -> None:
        """Checks that pools exist and that no two routes share a host and a prefix."""
        name_by_match: dict[tuple[str, str], str] = {}
        for name, route in routes.items():
            for share in route.pool:
                if share.pool not in pools:
                    self._add_route_error(
                        name,
                        f"pool = {share.pool!r}: expected a pool's name"
                        f"{suggest(share.pool, pools)}",
                    )
            match = (route.host.lower(), route.path_prefix)
            first = name_by_match.setdefault(match, name)
            if first != name:
                self._add_route_error(
                    name, f"path_prefix: [route {first}] has the same host and prefix"
                )

    def _check_keys(self, organisations: dict[str, OrganisationRow]) -> None:
        name_by_key: dict[str, str] = {}
        for name, organisation in organisations.items():
            for key in organisation.keys:
                first = name_by_key.setdefault(key, name)
                if first != name:
                    self._add_error(
                        self._texts.organisations_file,
                        f"[organisation {name}] keys: one of them is also a key of"
                        f" [organisation {first}]",
                    )

    def _check_needs_keys(self, rows_by_keyword: dict[str, dict[str, Any]]) -> bool:
        """Returns whether callers need a key; without a table, they don't."""
        if self._texts.organisations is None:
            return False
        if rows_by_keyword[_KEYS].get("", KeysRow()).required:
            return True
        for name in rows_by_keyword["organisation"]:
            detail = f"[organisation {name}]: expected none, as [keys] required = no"
            self._add_error(self._texts.organisations_file, detail)
        return False

    def _add_route_error(self, route: str, detail: str) -> None:
        self._add_error(self._texts.routes_file, f"[route {route}] {detail}")

    def _add_error(self, file: str, detail: str) -> None:
        self.errors.append(Error(ErrorKind.INVALID_TABLES, f"{file}: {detail}"))


def _name_part(keyword: str) -> str:
    return "" if keyword in _SINGLE else " NAME"


def _make_organisations(
    rows: dict[str, OrganisationRow],
) -> tuple[Organisation, ...]:
    return tuple(
        Organisation(name, row.keys, row.priority, row.allowed_regions)
        for name, row in rows.items()
    )


def _make_route(name: str, row: RouteRow) -> Route:
    return Route(
        name=name,
        host=row.host,
        path_prefix=row.path_prefix,
        kind=row.kind,
        shares=row.pool,
        timeout_s=row.timeout_s,
        target_s=row.timeout_s if row.target_s is None else row.target_s,
        gap_target_s=row.gap_target_s,
        priority=row.priority,
        max_attempts=row.max_attempts,
        is_public=row.public,
        is_resumable=row.resumable,
        allowed_regions=row.allowed_regions,
    )


def _make_pool(name: str, row: PoolRow, engines: dict[str, EngineRow]) -> Pool:
    engine = engines.get(row.engine)
    profile = None
    if engine is not None:
        profile = EngineProfile(**attrs.asdict(engine, recurse=False))
    return Pool(name, row.max_connections, profile, row.cold_rate)
