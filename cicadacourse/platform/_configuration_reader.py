"""Decodes the configuration that is stored on the platform into a catalogue."""

from __future__ import annotations

import contextlib
from typing import Any, Callable, Generic, TypeVar

import attrs
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

_TABLE_ORGANISATIONS = "tenants"
_TABLE_ROUTES = "routes"
_TABLE_POOLS = "services"
_LIMITS = "limits"
_DEFAULT_TIMEOUT_S = 30.0
# Rows may hold any value. A nested one that can be parsed may still be too deep to be
# compared.
_ROW_ERRORS = (ValueError, TypeError, AttributeError, KeyError, RecursionError)
KIND_BY_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


@attrs.frozen
class _Rows(Generic[T]):
    """The rows of one table: those that could be decoded, and the others as read."""

    decoded: tuple[T, ...] = ()
    refused: tuple[Any, ...] = ()


def decode_configuration(value: bytes) -> Result[Catalog, Error]:
    """Decodes one version; see :meth:`ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(value)


class ConfigurationDecoder:
    """Decodes versions that follow each other.

    Most rows of a version are those of the former one. Decoding a thousand rows anew
    would stop the event loop for some tens of milliseconds, several times a second.

    What can't be read allows callers no more than before: a row is left out, and a
    table or a limit keeps its value of the former version.
    """

    def __init__(self) -> None:
        self._known_by_table: dict[str, dict[str, tuple[Any, Any]]] = {}
        self._decoded_by_table: dict[str, _Rows[Any]] = {}
        self._limits = CallerLimits()

    def decode(self, value: bytes) -> Result[Catalog, Error]:
        """Decodes one version; what can't be read in it is logged.

        :returns: a Failure of kind ``INVALID_TABLES`` if the value is not a JSON object
            or has no valid version.
        """
        try:
            configuration = fields.parse_object(value)
            version = fields.integer(configuration, "version")
        except fields.FieldError as error:
            detail = f"configuration can't be read: {error}"
            return Failure(Error(ErrorKind.INVALID_TABLES, detail))
        rows = self._decode_rows
        routes = rows(configuration, _TABLE_ROUTES, _route)
        organisations = rows(configuration, _TABLE_ORGANISATIONS, _organisation)
        are_keys_needed = _TABLE_ORGANISATIONS in configuration
        self._limits = _decode_limits(configuration, self._limits)
        return Success(
            Catalog(
                version=int(version),
                routes=routes.decoded,
                pools=rows(configuration, _TABLE_POOLS, _pool).decoded,
                organisations=organisations.decoded if are_keys_needed else None,
                limits=self._limits,
                unreadable_prefixes=_find_prefixes(routes.refused),
            )
        )

    def _decode_rows(
        self, configuration: dict[str, Any], name: str, decode: Callable[[Any], T]
    ) -> _Rows[T]:
        """Decodes a table, or returns that of the former version if it is none."""
        try:
            rows = fields.table(configuration, name)
        except fields.FieldError as error:
            log(CONFIGURATION_ENTRY_REFUSED, reason=str(error))
            return self._decoded_by_table.get(name, _Rows())
        self._decoded_by_table[name] = self._decode_each(rows, name, decode)
        return self._decoded_by_table[name]

    def _decode_each(
        self, rows: list[Any], name: str, decode: Callable[[Any], T]
    ) -> _Rows[T]:
        known = self._known_by_table.get(name, {})
        self._known_by_table[name] = current = {}
        decoded, refused = [], []
        for row in rows:
            key = _name_of(row)
            try:
                former = known.get(key)
                is_same = former is not None and former[0] == row
                item = former[1] if former is not None and is_same else decode(row)
            except _ROW_ERRORS as error:
                log(
                    CONFIGURATION_ENTRY_REFUSED,
                    table=name,
                    entry=fields.shorten(row),
                    reason=f"{error!r:.120}",
                )
                refused.append(row)
                continue
            current[key] = (row, item)
            decoded.append(item)
        return _Rows(tuple(decoded), tuple(refused))


def _name_of(row: Any) -> str:
    """Returns the name of a row, empty if it has none."""
    name = row.get("name") if isinstance(row, dict) else None
    return name if isinstance(name, str) else ""


def _route(row: dict[str, Any]) -> Route:
    prefix = fields.string(row, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.FieldError(
            f"pathPrefix is {prefix!r}, expected a slash at both ends"
        )
    timeout_s = fields.seconds(row, "timeoutMs", _DEFAULT_TIMEOUT_S)
    return Route(
        name=fields.string(row, "name"),
        host=fields.string(row, "host"),
        path_prefix=prefix,
        kind=KIND_BY_NAME[fields.string(row, "kind")],
        shares=_shares(row),
        timeout_s=timeout_s,
        target_s=fields.seconds(row, "targetLatencyMs", timeout_s),
        gap_target_s=fields.seconds(row, "gapTargetMs", None),
        priority=int(fields.integer(row, "priority", 0)),
        max_attempts=max(1, int(fields.integer(row, "maxAttempts", 1))),
        is_public=fields.boolean(row, "public", False),
        is_resumable=fields.boolean(row, "resumable", False),
        allowed_regions=_regions(row),
    )


def _find_prefixes(rows: tuple[Any, ...]) -> frozenset[tuple[str, str]]:
    """Returns the hosts and path prefixes of rows that are no valid routes."""
    found = set()
    for row in rows:
        with contextlib.suppress(*_ROW_ERRORS):
            host, prefix = fields.string(row, "host"), fields.string(row, "pathPrefix")
            found.add((host, prefix))
    return frozenset(found)


def _regions(row: dict[str, Any]) -> frozenset[str] | None:
    """Returns the regions that a row names, None if it doesn't restrict them.

    What can't be read stands for no region: it must not lift a restriction.
    """
    if "allowedRegions" not in row:
        return None
    names = row["allowedRegions"]
    is_list = isinstance(names, list)
    regions = [item for item in names if isinstance(item, str)] if is_list else []
    if not is_list or len(regions) < len(names):
        reason = f"allowedRegions is {fields.shorten(names)}, expected a list of names"
        log(CONFIGURATION_ENTRY_REFUSED, reason=reason)
    return frozenset(regions) - {""}


def _shares(row: dict[str, Any]) -> tuple[PoolShare, ...]:
    split = fields.array(row, "trafficSplit")
    if not split:
        return (PoolShare(fields.string(row, "service")),)
    shares = tuple(
        PoolShare(fields.string(item, "service"), fields.number(item, "weight"))
        for item in split
    )
    return tuple(share for share in shares if share.weight > 0)


def _pool(row: dict[str, Any]) -> Pool:
    engine = row.get("engine")
    return Pool(
        name=fields.string(row, "name"),
        max_connections=int(fields.integer(row, "maxConns", 0)),
        engine=None if engine is None else _engine(engine),
        cold_rate=fields.number(row, "coldPerS", 0.0),
    )


def _engine(row: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=fields.count(row, "slots"),
        kv_tokens=int(fields.integer(row, "kvTokens")),
        steps_per_pass=fields.count(row, "stride", 1),
        step_s=fields.seconds(row, "step_ms"),
        step_per_writer_s=fields.seconds(row, "per_seq_ms", 0),
        step_per_1k_context_s=fields.seconds(row, "context_per_k", 0),
        read_tokens_per_s=fields.rate(row, "read_per_s"),
        read_per_1m_pairs_s=fields.seconds(row, "pairs_per_m", 0),
        chunk_tokens=fields.count(row, "chunk", 2048),
        hop_s=fields.seconds(row, "hopMs", 0),
        models=tuple(
            fields.string(item, "name") for item in fields.array(row, "models")
        ),
    )


def _organisation(row: dict[str, Any]) -> Organisation:
    keys = fields.array(row, "apiKeys")
    priority = fields.integer(row, "priority", None)
    return Organisation(
        name=fields.string(row, "name"),
        keys=tuple(key for key in keys if isinstance(key, str) and key),
        priority=None if priority is None else int(priority),
        allowed_regions=_regions(row),
    )


def _decode_limits(configuration: dict[str, Any], former: CallerLimits) -> CallerLimits:
    """Returns the limits; one that can't be read stays as it was.

    :param former: the limits of the former version.
    """
    row = configuration.get(_LIMITS, {})
    if not isinstance(row, dict):
        reason = f"limits is {fields.shorten(row)}, expected an object"
        log(CONFIGURATION_ENTRY_REFUSED, reason=reason)
        return former
    values = {}
    for name, (field, decode) in _DECODER_BY_LIMIT.items():
        if field not in row:
            continue
        try:
            values[name] = decode(row, field)
        except fields.FieldError as error:
            log(CONFIGURATION_ENTRY_REFUSED, table=_LIMITS, reason=str(error))
            values[name] = getattr(former, name)
    return CallerLimits(**values)


# The field of each limit, and how it is decoded.
_DECODER_BY_LIMIT: dict[str, tuple[str, Callable[[dict[str, Any], str], Any]]] = {
    "max_header_bytes": ("maxHeaderBytes", lambda *args: int(fields.integer(*args))),
    "max_body_bytes": ("maxBodyBytes", lambda *args: int(fields.integer(*args))),
    "header_timeout_s": ("headerTimeoutMs", fields.seconds),
    "idle_timeout_s": ("idleTimeoutMs", fields.seconds),
}
