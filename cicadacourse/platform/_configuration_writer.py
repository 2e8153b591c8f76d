"""Encodes a catalogue as the platform's configuration; the decoder's counterpart."""

from __future__ import annotations

import json
from typing import Any, Iterable, Mapping

from cicadacourse.catalog import (
    CallerLimits,
    Catalog,
    EngineProfile,
    Organisation,
    Pool,
    PoolShare,
    Route,
)
from cicadacourse.platform._configuration_reader import KIND_BY_NAME
from cicadacourse.util.clock import MS_PER_S

NAME_BY_KIND = {kind: name for name, kind in KIND_BY_NAME.items()}

Row = dict[str, Any]


def encode_configuration(
    catalog: Catalog, previous: Mapping[str, Any], keeps_organisations: bool = False
) -> bytes:
    """Returns the bytes of one version.

    :param previous: the configuration that it replaces, as it was read; its unknown
        fields are kept, row by row.
    :param keeps_organisations: whether organisations and limits stay as they are there.
    """
    configuration = {
        **previous,
        "version": catalog.version,
        "routes": _rows(previous, "routes", map(_route, catalog.routes)),
        "services": _rows(previous, "services", map(_pool, catalog.pools)),
    }
    if not keeps_organisations:
        limits = {**_object(previous, "limits"), **_limits(catalog.limits)}
        configuration["limits"] = limits
        # Without this field, callers need no key.
        configuration.pop("tenants", None)
        if catalog.organisations is not None:
            rows = map(_organisation, catalog.organisations)
            configuration["tenants"] = _rows(previous, "tenants", rows)
    return json.dumps(configuration).encode()


def _rows(previous: Mapping[str, Any], name: str, rows: Iterable[Row]) -> list[Row]:
    """Returns the rows, each merged over the previous row of the same name."""
    previous_rows = previous.get(name)
    if not isinstance(previous_rows, list):
        previous_rows = []
    previous_by_name = {
        row.get("name"): row for row in previous_rows if isinstance(row, dict)
    }
    return [_merge(previous_by_name.get(row["name"], {}), row) for row in rows]


def _merge(previous: Row, row: Row) -> Row:
    """Returns a row merged over its previous state, nested objects included.

    Fields whose value is None are left out.
    """
    merged = {**previous, **row}
    for name, value in row.items():
        if isinstance(value, dict):
            merged[name] = {**_object(previous, name), **value}
    return {name: value for name, value in merged.items() if value is not None}


def _object(row: Mapping[str, Any], name: str) -> Row:
    value = row.get(name)
    return value if isinstance(value, dict) else {}


def _ms(seconds: float | None) -> float | None:
    """Returns milliseconds, as an integer if they are a whole number.

    >>> _ms(0.3)
    300
    """
    if seconds is None:
        return None
    milliseconds = round(seconds * MS_PER_S, 9)
    integer = int(milliseconds)
    return integer if integer == milliseconds else milliseconds


def _route(route: Route) -> Row:
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": NAME_BY_KIND[route.kind],
        "timeoutMs": _ms(route.timeout_s),
        "targetLatencyMs": _ms(route.target_s),
        "gapTargetMs": _ms(route.gap_target_s),
        "priority": route.priority,
        "maxAttempts": route.max_attempts,
        "public": route.is_public,
        "resumable": route.is_resumable,
        "allowedRegions": _regions(route.allowed_regions),
        **_shares(route.shares),
    }


def _shares(shares: tuple[PoolShare, ...]) -> Row:
    if len(shares) == 1 and shares[0] == PoolShare(shares[0].pool):
        return {"service": shares[0].pool, "trafficSplit": None}
    split = [{"service": item.pool, "weight": item.weight} for item in shares]
    return {"service": None, "trafficSplit": split}


def _pool(pool: Pool) -> Row:
    return {
        "name": pool.name,
        "maxConns": pool.max_connections or None,
        "engine": None if pool.engine is None else _engine(pool.engine),
        "coldPerS": pool.cold_rate or None,
    }


def _engine(profile: EngineProfile) -> Row:
    return {
        "slots": profile.slots,
        "kvTokens": profile.kv_tokens,
        "stride": profile.steps_per_pass,
        "step_ms": _ms(profile.step_s),
        "per_seq_ms": _ms(profile.step_per_writer_s),
        "context_per_k": _ms(profile.step_per_1k_context_s),
        "read_per_s": profile.read_tokens_per_s,
        "pairs_per_m": _ms(profile.read_per_1m_pairs_s),
        "chunk": profile.chunk_tokens,
        "hopMs": _ms(profile.hop_s),
        "models": [{"name": name} for name in profile.models],
    }


def _regions(names: frozenset[str] | None) -> list[str] | None:
    return None if names is None else sorted(names)


def _organisation(organisation: Organisation) -> Row:
    return {
        "name": organisation.name,
        "apiKeys": list(organisation.keys),
        "priority": organisation.priority,
        "allowedRegions": _regions(organisation.allowed_regions),
    }


def _limits(limits: CallerLimits) -> Row:
    return {
        "maxHeaderBytes": limits.max_header_bytes,
        "maxBodyBytes": limits.max_body_bytes,
        "headerTimeoutMs": _ms(limits.header_timeout_s),
        "idleTimeoutMs": _ms(limits.idle_timeout_s),
    }
