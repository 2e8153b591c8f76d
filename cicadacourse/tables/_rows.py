"""The rows of the tables: each option with its type, default, unit and bounds."""

from __future__ import annotations

import math
from typing import Any, ClassVar

import attrs

from cicadacourse.catalog import CallerLimits, PoolShare, RouteKind
from cicadacourse.config import EXPECTED_BY_PARSER, option, parse_bool, parse_name

MAX_TIMEOUT_S = 3600.0
_DEFAULT_LIMITS = CallerLimits()


def parse_path_prefix(text: str) -> str:
    """Parses a path with a slash at both ends.

    >>> parse_path_prefix("/ask/")
    '/ask/'
    """
    if not (text.startswith("/") and text.endswith("/")):
        raise ValueError(text)
    return text


def parse_route_kind(text: str) -> RouteKind:
    """Parses a route's kind, which says whether its requests may be retried."""
    return RouteKind(text)


def parse_pool_shares(text: str) -> tuple[PoolShare, ...]:
    """Parses one pool, or several with their weights.

    >>> parse_pool_shares("old 3, new 1")[1]
    PoolShare(pool='new', weight=1.0)
    """
    shares = tuple(_parse_pool_share(part) for part in text.split(","))
    if not any(share.weight for share in shares):
        raise ValueError(text)
    return shares


def _parse_pool_share(text: str) -> PoolShare:
    pool, _, weight = text.strip().partition(" ")
    share = PoolShare(parse_name(pool), float(weight or 1.0))
    if not 0 <= share.weight < math.inf:
        raise ValueError(text)
    return share


def parse_names(text: str) -> tuple[str, ...]:
    """Parses names separated by commas or white space."""
    return tuple(parse_name(part) for part in text.replace(",", " ").split())


def parse_name_set(text: str) -> frozenset[str]:
    """Parses names of which the order does not count."""
    return frozenset(parse_names(text))


def parse_keys(text: str) -> tuple[str, ...]:
    """Parses keys separated by commas or white space."""
    return tuple(text.replace(",", " ").split())


EXPECTED_BY_PARSER.update(
    {
        parse_path_prefix: "a path with a slash at both ends",
        parse_route_kind: "safe, unsafe or stream",
        parse_pool_shares: "a pool's name, or several with weights as 'old 3, new 1'",
        parse_names: "names separated by commas",
        parse_name_set: "names separated by commas",
        parse_keys: "keys separated by commas",
    }
)


@attrs.frozen(kw_only=True)
class RouteRow:
    """One route, section ``[route NAME]``."""

    host: str = option(parse_name, help="Host that callers name.")
    path_prefix: str = option(
        parse_path_prefix,
        help="Of the routes that match a path, the longest prefix wins.",
    )
    kind: RouteKind = option(
        parse_route_kind,
        help="What may be retried: safe requests and resumable streams.",
    )
    pool: tuple[PoolShare, ...] = option(
        parse_pool_shares, help="Pool that serves it, or several with weights."
    )
    timeout_s: float = option(
        float, 30.0, unit="seconds", minimum=0.001, maximum=MAX_TIMEOUT_S
    )
    target_s: float | None = option(
        float,
        None,
        unit="seconds",
        minimum=0.001,
        maximum=MAX_TIMEOUT_S,
        help="Latency objective: whole response, or a stream's first event;"
        " the timeout if it is left out.",
    )
    gap_target_s: float | None = option(
        float,
        None,
        unit="seconds",
        minimum=0.001,
        maximum=MAX_TIMEOUT_S,
        help="Latency objective: longest gap between a stream's events.",
    )
    priority: int = option(
        int,
        0,
        minimum=0,
        maximum=100,
        help="Priority of its requests; 0 is served first.",
    )
    max_attempts: int = option(
        int, 1, minimum=1, maximum=100, help="Endpoints that a request may be sent to."
    )
    public: bool = option(parse_bool, False, help="Served without a key.")
    resumable: bool = option(
        parse_bool,
        False,
        help="An interrupted stream may be resumed at another endpoint.",
    )
    allowed_regions: frozenset[str] | None = option(
        parse_name_set,
        None,
        help="Regions that may serve it, none if empty; all if it is left out.",
    )


@attrs.frozen(kw_only=True)
class PoolRow:
    """One pool, section ``[pool NAME]``."""

    REASON_BY_REMOVED_OPTION: ClassVar[dict[str, str]] = {
        "health_path": "endpoints are not probed"
    }

    engine: str = option(str, "", help="Kind of its engines; empty for plain services.")
    max_connections: int = option(
        int,
        0,
        minimum=0,
        help="Connections for requests from each instance to one endpoint, 0 if not"
        " bounded; at the limit, requests wait.",
    )
    cold_rate: float = option(
        float,
        0.0,
        unit="requests per second",
        minimum=0,
        help="What a cold endpoint bears from all instances, 0 if not bounded.",
    )


@attrs.frozen(kw_only=True)
class EngineRow:
    """Speed and capacity of a kind of engine, section ``[engine NAME]``."""

    slots: int = option(int, minimum=1, help="Requests in progress at once.")
    kv_tokens: int = option(
        int, unit="tokens", minimum=1, help="Capacity of its KV cache."
    )
    steps_per_pass: int = option(
        int, 1, minimum=1, help="Tokens decoded for each stream in one pass."
    )
    step_s: float = option(
        float, unit="seconds", minimum=0, help="Duration of one decode step."
    )
    step_per_writer_s: float = option(
        float,
        0.0,
        unit="seconds",
        minimum=0,
        help="Added to a step by each decoding stream.",
    )
    step_per_1k_context_s: float = option(
        float,
        0.0,
        unit="seconds",
        minimum=0,
        help="Added to a step by each thousand tokens of context.",
    )
    read_tokens_per_s: float = option(
        float, unit="tokens per second", minimum=1, help="Prefill speed."
    )
    read_per_1m_pairs_s: float = option(
        float,
        0.0,
        unit="seconds",
        minimum=0,
        help="Added to prefill for each million pairs of a token and an earlier one.",
    )
    chunk_tokens: int = option(
        int,
        2048,
        unit="tokens",
        minimum=1,
        help="Most prompt tokens prefilled in one step.",
    )
    hop_s: float = option(
        float,
        0.0,
        unit="seconds",
        minimum=0,
        help="Added to a step while several engines prefill one prompt.",
    )
    models: tuple[str, ...] = option(parse_names, (), help="Models that it serves.")


@attrs.frozen(kw_only=True)
class OrganisationRow:
    """One organisation, section ``[organisation NAME]``."""

    keys: tuple[str, ...] = option(parse_keys, (), help="Its callers' keys.")
    priority: int | None = option(
        int,
        None,
        minimum=0,
        maximum=100,
        help="Priority of its requests, instead of the route's.",
    )
    allowed_regions: frozenset[str] | None = option(
        parse_name_set,
        None,
        help="Regions that may serve its requests, none if empty; all if it is left"
        " out.",
    )


@attrs.frozen(kw_only=True)
class LimitsRow:
    """Limits on callers' requests, section ``[limits]`` of the organisations' table."""

    max_header_bytes: int = option(
        int, _DEFAULT_LIMITS.max_header_bytes, unit="bytes", minimum=256
    )
    max_body_bytes: int = option(
        int, _DEFAULT_LIMITS.max_body_bytes, unit="bytes", minimum=0
    )
    header_timeout_s: float = option(
        float, _DEFAULT_LIMITS.header_timeout_s, unit="seconds", minimum=0.1
    )
    idle_timeout_s: float = option(
        float, _DEFAULT_LIMITS.idle_timeout_s, unit="seconds", minimum=0.1
    )


@attrs.frozen(kw_only=True)
class KeysRow:
    """Callers' keys, section ``[keys]`` of the organisations' table."""

    required: bool = option(
        parse_bool,
        True,
        help="Whether callers need an organisation's key on routes that are not public."
        " If not, the table has no organisation.",
    )


ROW_CLASS_BY_SECTION: dict[str, type[Any]] = {
    "route NAME": RouteRow,
    "pool NAME": PoolRow,
    "engine NAME": EngineRow,
    "organisation NAME": OrganisationRow,
    "limits": LimitsRow,
    "keys": KeysRow,
}
