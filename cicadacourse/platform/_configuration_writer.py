"""Encodes a catalogue as the operator's configuration; the decoder's counterpart."""

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
from cicadacourse.platform._desired_state import KIND_BY_WORD
from cicadacourse.util.clock import MS_PER_S

WORD_BY_KIND = {kind: word for word, kind in KIND_BY_WORD.items()}

Row = dict[str, Any]


def encode_configuration(catalog: Catalog, former: Mapping[str, Any]) -> bytes:
    """Returns the bytes of one version.

    :param former: the configuration that it replaces, as it was read; fields that the
        project does not know are kept from it, row by row.
    """
    whole = {
        **former,
        "version": catalog.version,
        "routes": _rows(former, "routes", map(_route, catalog.routes)),
        "services": _rows(former, "services", map(_pool, catalog.pools)),
        "tenants": _rows(former, "tenants", map(_organisation, catalog.organisations)),
        "limits": {**_table(former, "limits"), **_limits(catalog.limits)},
    }
    return json.dumps(whole).encode()


def _rows(former: Mapping[str, Any], name: str, rows: Iterable[Row]) -> list[Row]:
    """Returns the rows over what the former rows of the same names hold."""
    former_rows = former.get(name)
    if not isinstance(former_rows, list):
        former_rows = []
    known = {row.get("name"): row for row in former_rows if isinstance(row, dict)}
    return [_merged(known.get(row["name"], {}), row) for row in rows]


def _merged(former: Row, row: Row) -> Row:
    """Returns a row over its former state; tables within it are merged too."""
    merged = {**former, **row}
    for name, value in row.items():
        if isinstance(value, dict):
            merged[name] = {**_table(former, name), **value}
    return {name: value for name, value in merged.items() if value is not None}


def _table(row: Mapping[str, Any], name: str) -> Row:
    value = row.get(name)
    return value if isinstance(value, dict) else {}


def _ms(seconds: float | None) -> float | None:
    """Returns milliseconds, as a whole number where they are one.

    >>> _ms(0.3)
    300
    """
    if seconds is None:
        return None
    milliseconds = round(seconds * MS_PER_S, 9)
    whole = int(milliseconds)
    return whole if whole == milliseconds else milliseconds


def _route(route: Route) -> Row:
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": WORD_BY_KIND[route.kind],
        "timeoutMs": _ms(route.timeout_s),
        "targetLatencyMs": _ms(route.target_s),
        "gapTargetMs": _ms(route.gap_target_s),
        "priority": route.priority,
        "maxAttempts": route.max_attempts,
        "public": route.is_public,
        "resumable": route.is_resumable,
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
        "healthPath": pool.health_path,
        "maxConns": pool.max_connections,
        "engine": None if pool.engine is None else _engine(pool.engine),
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


def _organisation(organisation: Organisation) -> Row:
    return {
        "name": organisation.name,
        "apiKeys": list(organisation.keys),
        "priority": organisation.priority,
    }


def _limits(limits: CallerLimits) -> Row:
    return {
        "maxHeaderBytes": limits.max_header_bytes,
        "maxBodyBytes": limits.max_body_bytes,
        "headerTimeoutMs": _ms(limits.header_timeout_s),
        "idleTimeoutMs": _ms(limits.idle_timeout_s),
    }
