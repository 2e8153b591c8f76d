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
    """Whether a route's requests may run more than once.

    Requests of a ``SAFE`` route may, those of an ``UNSAFE`` route may not; a ``STREAM``
    may if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class PoolShare:
    """A pool and its weight in the random choice among a route's pools."""

    pool: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One row of the table of routes.

    :param name: unique name.
    :param host: the ``Host`` that callers send, without a port.
    :param path_prefix: begins and ends with a slash.
    :param kind: whether its requests may run more than once.
    :param shares: the pools that serve it, with their weights.
    :param timeout_s: the maximum time from a request's arrival to its whole response.
    :param target_s: the latency objective for a whole response, or for the first event
        of a stream.
    :param gap_target_s: the objective for the gap between events of a stream, or None.
    :param priority: 0 is the highest.
    :param max_attempts: the maximum number of endpoints that may run one request.
    :param is_public: whether it is served without a key.
    :param is_resumable: whether another endpoint may resume a stream.
    :param allowed_regions: the regions that may serve it, none if it is empty; all may
        if it is None.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen
class Pool:
    """One row of the table of pools: a set of interchangeable endpoints.

    :param name: unique name.
    :param max_connections: the maximum number of connections for requests from each
        instance to one endpoint, 0 if it is not bounded.
    :param engine: the engines' time model, or None for plain services.
    :param cold_rate: requests per second that an endpoint bears from all instances
        together while it is cold, 0 if that is not bounded.
    """

    name: str
    max_connections: int = 0
    engine: EngineProfile | None = None
    cold_rate: float = 0.0


@attrs.frozen
class Organisation:
    """One organisation.

    :param priority: overrides the routes' priority unless it is None.
    :param allowed_regions: the regions that may serve its requests, none if it is
        empty; all may if it is None.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


def find_allowed_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[str] | None:
    """Returns the regions that may serve a request, or None if all may.

    Where both the route and the organisation name regions, both bind.
    """
    named = [route.allowed_regions]
    if organisation is not None:
        named.append(organisation.allowed_regions)
    restrictions = [item for item in named if item is not None]
    return frozenset.intersection(*restrictions) if restrictions else None


@attrs.frozen
class CallerLimits:
    """Limits on the size of requests and on how long callers take or stay idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@attrs.define(slots=False)
class Catalog:
    """One validated version of the configuration; it is never changed.

    :param organisations: those whose keys open the routes that are not public. If it is
        empty, no key does; if it is None, callers need no key.
    :param unreadable_prefixes: hosts and path prefixes of routes that can't be read. No
        route with a shorter prefix serves requests for them, as it may be public or
        lead to another pool.
    """

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = CallerLimits()
    unreadable_prefixes: frozenset[tuple[str, str]] = frozenset()

    @cached_property
    def pool_by_name(self) -> Mapping[str, Pool]:
        """The pools by name."""
        return MappingProxyType({pool.name: pool for pool in self.pools})

    @cached_property
    def organisation_by_key(self) -> Mapping[str, Organisation]:
        """The organisations by each of their keys."""
        return MappingProxyType(
            {key: owner for owner in self.organisations or () for key in owner.keys}
        )

    def find_pools(self, route: Route) -> tuple[Pool, ...]:
        """Returns the pools of a route that are configured."""
        names = [share.pool for share in route.shares]
        return tuple(
            self.pool_by_name[name] for name in names if name in self.pool_by_name
        )

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        return self.organisation_by_key.get(key or "")

    def is_allowed(self, route: Route, key: str | None) -> bool:
        """Returns whether a caller with a key, or with none, may use a route."""
        if route.is_public or self.organisations is None:
            return True
        return self.find_organisation(key) is not None

    def find_host_regions(self, host: str) -> frozenset[str] | None:
        """Returns the regions that may serve the routes of a host, None if all may."""
        by_prefix = self._route_by_prefix_by_host.get(host.lower(), {})
        routes = [item for item in by_prefix.values() if item is not None]
        restrictions = [
            item.allowed_regions for item in routes if item.allowed_regions is not None
        ]
        if not routes or len(restrictions) < len(routes):
            return None
        return frozenset.union(*restrictions)

    @cached_property
    def _route_by_prefix_by_host(self) -> Mapping[str, dict[str, Route | None]]:
        found: dict[str, dict[str, Route | None]] = defaultdict(dict)
        for route in self.routes:
            found[route.host.lower()][route.path_prefix] = route
        for host, prefix in self.unreadable_prefixes:
            found[host.lower()][prefix] = None
        return found

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching path prefix, or None.

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
