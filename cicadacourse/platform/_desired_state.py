"""Decodes the operator's configuration into the catalogue's types."""

from __future__ import annotations

import json
from typing import Any, Callable, Iterator, TypeVar

from returns.result import Failure, Result, Success

from cicadacourse.catalog import (
    CallerLimits,
    Catalog,
    EngineProfile,
    Organisation,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.logs import CONFIGURATION_ENTRY_REFUSED, log
from cicadacourse.platform import _fields as fields

T = TypeVar("T")

_DEFAULT_TIMEOUT_S = 30.0
KIND_BY_WORD = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


def decode_configuration(value: bytes) -> Result[Catalog, Error]:
    """Decodes one version; a bad entry is logged and left out, the others hold.

    Fails only if the whole can't be read or bears no version.
    """
    try:
        whole = json.loads(value)
        version = fields.whole(whole, "version")
    except (ValueError, TypeError, AttributeError) as error:
        detail = f"configuration can't be read: {error}"
        return Failure(Error(ErrorKind.INVALID_TABLES, detail))
    return Success(
        Catalog(
            version=int(version),
            routes=tuple(_decoded(whole, "routes", _route)),
            pools=tuple(_decoded(whole, "services", _pool)),
            organisations=tuple(_decoded(whole, "tenants", _organisation)),
            limits=_limits(whole),
        )
    )


def _decoded(
    whole: dict[str, Any], name: str, decode: Callable[[Any], T]
) -> Iterator[T]:
    try:
        rows = fields.rows(whole, name)
    except fields.BadField as error:
        log(CONFIGURATION_ENTRY_REFUSED, reason=str(error))
        return
    for row in rows:
        try:
            yield decode(row)
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            log(
                CONFIGURATION_ENTRY_REFUSED,
                table=name,
                entry=str(row)[:120],
                reason=str(error),
            )


def _route(row: dict[str, Any]) -> Route:
    prefix = fields.text(row, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.BadField(f"pathPrefix is {prefix!r}, expected slashes around it")
    timeout_s = fields.seconds(row, "timeoutMs", _DEFAULT_TIMEOUT_S)
    return Route(
        name=fields.text(row, "name"),
        host=fields.text(row, "host"),
        path_prefix=prefix,
        kind=KIND_BY_WORD[fields.text(row, "kind")],
        shares=_shares(row),
        timeout_s=timeout_s,
        target_s=fields.seconds(row, "targetLatencyMs", timeout_s),
        gap_target_s=fields.seconds(row, "gapTargetMs", None),
        priority=int(fields.whole(row, "priority", 0)),
        max_attempts=max(1, int(fields.whole(row, "maxAttempts", 1))),
        is_public=fields.flag(row, "public", False),
        is_resumable=fields.flag(row, "resumable", False),
    )


def _shares(row: dict[str, Any]) -> tuple[PoolShare, ...]:
    split = fields.rows(row, "trafficSplit")
    if not split:
        return (PoolShare(fields.text(row, "service")),)
    shares = tuple(
        PoolShare(fields.text(item, "service"), fields.number(item, "weight"))
        for item in split
    )
    return tuple(share for share in shares if share.weight > 0)


def _pool(row: dict[str, Any]) -> Pool:
    engine = row.get("engine")
    return Pool(
        name=fields.text(row, "name"),
        health_path=fields.text(row, "healthPath", "/health"),
        max_connections=int(fields.whole(row, "maxConns", 0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(row: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=int(fields.whole(row, "slots")),
        kv_tokens=int(fields.whole(row, "kvTokens")),
        steps_per_pass=int(fields.whole(row, "stride", 1)),
        step_s=fields.seconds(row, "step_ms"),
        step_per_writer_s=fields.seconds(row, "per_seq_ms", 0),
        step_per_1k_context_s=fields.seconds(row, "context_per_k", 0),
        read_tokens_per_s=fields.number(row, "read_per_s"),
        read_per_1m_pairs_s=fields.seconds(row, "pairs_per_m", 0),
        chunk_tokens=int(fields.whole(row, "chunk", 2048)),
        hop_s=fields.seconds(row, "hopMs", 0),
        models=tuple(fields.text(item, "name") for item in fields.rows(row, "models")),
    )


def _organisation(row: dict[str, Any]) -> Organisation:
    keys = fields.rows(row, "apiKeys")
    priority = fields.whole(row, "priority", None)
    return Organisation(
        name=fields.text(row, "name"),
        keys=tuple(key for key in keys if isinstance(key, str) and key),
        priority=None if priority is None else int(priority),
    )


def _limits(whole: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    row = whole.get("limits")
    if not isinstance(row, dict):
        return defaults
    try:
        return CallerLimits(
            max_header_bytes=int(
                fields.whole(row, "maxHeaderBytes", defaults.max_header_bytes)
            ),
            max_body_bytes=int(
                fields.whole(row, "maxBodyBytes", defaults.max_body_bytes)
            ),
            header_timeout_s=fields.seconds(
                row, "headerTimeoutMs", defaults.header_timeout_s
            ),
            idle_timeout_s=fields.seconds(
                row, "idleTimeoutMs", defaults.idle_timeout_s
            ),
        )
    except ValueError as error:
        log(CONFIGURATION_ENTRY_REFUSED, reason=str(error))
        return defaults
