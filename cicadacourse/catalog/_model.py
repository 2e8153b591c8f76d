"""Routes, pools and organisations of one version of the configuration."""

from __future__ import annotations

import enum
from collections import defaultdict
from functools import cached_property
from types import MappingProxyType
from typing import Mapping

import attrs

from cicadacourse.catalog._engine import EngineProfile


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class PoolShare:
    """A pool and the weight with which a route's requests go to it."""

    pool: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One row of the table of routes.

    :param name: unique name.
    :param host: the host that callers name.
    :param path_prefix: begins and ends with a slash.
    :param kind: what may be repeated.
    :param shares: the pools that serve it.
    :param timeout_s: the longest time that a request is kept.
    :param target_s: the latency objective: whole answer, or first event of a stream.
    :param gap_target_s: the longest pause between events that is in time, or None.
    :param priority: rank, 0 first.
    :param max_attempts: endpoints that one request may be sent to.
    :param is_public: whether it is served without a key.
    :param is_resumable: whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[PoolShare, ...]
    timeout_s: float
    target_s: float
    gap_target_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class Pool:
    """One row of the table of pools: endpoints that serve the same.

    :param engine: the engines' time model, or None for plain services.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineProfile | None = None


@attrs.frozen
class Organisation:
    """One organisation.

    :param priority: goes before the routes' priority unless None.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.define(slots=False)
class Catalog:
    """One version of the configuration, checked; never changed once made."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()

    @cached_property
    def pool_by_name(self) -> Mapping[str, Pool]:
        """The pools by name."""
        return MappingProxyType({pool.name: pool for pool in self.pools})

    @cached_property
    def organisation_by_key(self) -> Mapping[str, Organisation]:
        """The organisations by each of their keys."""
        return MappingProxyType(
            {key: owner for owner in self.organisations for key in owner.keys}
        )

    @cached_property
    def _route_by_prefix_by_host(self) -> Mapping[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in self.routes:
            found[route.host.lower()][route.path_prefix] = route
        return found

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of that host with the longest prefix of the path.

        >>> route = Route("r", "a.example", "/x/", RouteKind.SAFE, (), 1.0, 1.0)
        >>> Catalog(1, (route,)).find_route("A.example:80", "/x/y?z").name
        'r'
        """
        name = host.rpartition(":")[0] if ":" in host else host
        by_prefix = self._route_by_prefix_by_host.get(name.lower())
        if not by_prefix:
            return None
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            if prefix in by_prefix:
                return by_prefix[prefix]
            prefix = prefix[:-1]
        return None
