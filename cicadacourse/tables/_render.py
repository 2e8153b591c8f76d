"""Renders a catalogue as INI texts, so that operators can edit what is in force."""

from __future__ import annotations

import configparser
import io
from typing import Any

import attrs

from cicadacourse.catalog import Catalog, EngineProfile, Organisation, Pool, Route
from cicadacourse.tables._texts import TableTexts

Rows = dict[str, dict[str, Any]]


def render_tables(catalog: Catalog) -> TableTexts:
    """Returns texts that :func:`parse_tables` parses to the catalogue, as version 0."""
    routes = {f"route {item.name}": _get_route_row(item) for item in catalog.routes}
    organisations = {
        f"organisation {item.name}": _get_organisation_row(item)
        for item in catalog.organisations or ()
    }
    limits = {"limits": attrs.asdict(catalog.limits)}
    keys = {"keys": {"required": catalog.organisations is not None}}
    return TableTexts(
        routes=_render_ini(routes),
        pools=_render_ini(_get_pool_rows(catalog.pools)),
        organisations=_render_ini(organisations | limits | keys),
    )


def _get_route_row(route: Route) -> dict[str, Any]:
    return {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "pool": ", ".join(f"{item.pool} {item.weight!r}" for item in route.shares),
        "timeout_s": route.timeout_s,
        "target_s": route.target_s,
        "gap_target_s": route.gap_target_s,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
        "public": route.is_public,
        "resumable": route.is_resumable,
        "allowed_regions": _format_regions(route.allowed_regions),
    }


def _get_organisation_row(organisation: Organisation) -> dict[str, Any]:
    return {
        "keys": ", ".join(organisation.keys),
        "priority": organisation.priority,
        "allowed_regions": _format_regions(organisation.allowed_regions),
    }


def _format_regions(names: frozenset[str] | None) -> str | None:
    return None if names is None else ", ".join(sorted(names))


def _get_pool_rows(pools: tuple[Pool, ...]) -> Rows:
    """Returns a row for each pool, and an engine row for each distinct profile.

    An engine row is named after the first pool of its profile.
    """
    rows: Rows = {}
    name_by_profile: dict[EngineProfile, str] = {}
    for pool in pools:
        engine = None
        if pool.engine is not None:
            engine = name_by_profile.setdefault(pool.engine, pool.name)
        rows[f"pool {pool.name}"] = {
            "engine": engine,
            "max_connections": pool.max_connections,
            "cold_rate": pool.cold_rate or None,
        }
    for profile, name in name_by_profile.items():
        row = attrs.asdict(profile, recurse=False)
        rows[f"engine {name}"] = row | {"models": ", ".join(profile.models)}
    return rows


def _render_ini(rows: Rows) -> str:
    writer = configparser.ConfigParser(interpolation=None, default_section="")
    for section, row in rows.items():
        writer[section] = {
            name: _format_value(value)
            for name, value in row.items()
            if value is not None
        }
    text = io.StringIO()
    writer.write(text)
    return text.getvalue()


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
