"""The status of an instance as ``cicadacourse show`` prints it."""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Catalog, CatalogService, Endpoint
from cicadacourse.membership import Membership
from cicadacourse.metrics import Metrics
from cicadacourse.placement import Placer
from cicadacourse.resources import SHED, HeldKind, MemoryAccount
from cicadacourse.util.clock import now

PATH_STATUS = "/status"


@attrs.frozen
class MemberStatus:
    """One instance as another sees it; see :class:`cicadacourse.membership.Member`."""

    name: str
    state: str
    failure_domain: str
    caller_address: str
    configuration_version: int


@attrs.frozen
class EndpointStatus:
    """One endpoint and its load, as known to one instance.

    :param in_progress: requests in progress there.
    :param backlog_s: seconds of prefill that an engine has yet to do.
    :param is_set_aside: whether it is ejected and receives no requests for now.
    :param obstacle: why it may not get requests, empty if it may. Instances of earlier
        releases don't say it.
    :param limit: the requests per second that it takes from all instances together,
        None if it has no limit.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    state: str
    in_progress: int
    backlog_s: float
    is_set_aside: bool
    obstacle: str = ""
    limit: float | None = None


@attrs.frozen
class RouteStatus:
    """One route in force; ``pools`` holds the names of its pools."""

    name: str
    host: str
    path_prefix: str
    kind: str
    pools: tuple[str, ...]


@attrs.frozen
class OrganisationStatus:
    """One organisation; ``keys`` is the number of its keys, which are secret."""

    name: str
    keys: int
    priority: int | None


@attrs.frozen
class EvacuationStatus:
    """One failure domain that is evacuated.

    :param position: the position in the store's topic from which that is known.
    """

    failure_domain: str
    position: int


@attrs.frozen
class HeldStatus:
    """What an instance holds for callers, of one kind.

    :param held_bytes: the memory that it takes.
    :param holders: how many connections or requests hold it.
    :param shed: how many were given up since the start, as they made no progress while
        others waited for room.
    """

    kind: str
    held_bytes: int
    holders: int
    shed: int


@attrs.frozen
class InstanceStatus:
    """The state of one instance and its view of the others.

    :param configuration_version: the version in force, 0 if there is none.
    :param configuration_age_s: seconds since it came into force on this instance.
    :param registry_age_s: seconds since this instance last read the registry, or None
        if it never did.
    :param evacuations: the failure domains that are evacuated.
    :param held: what is held for callers, by kind. Instances of earlier releases don't
        say it.
    :param held_limit_bytes: the limit of all that is held.
    :param held_waiting: how many wait for room in it.
    """

    instance: str
    is_leaving: bool
    configuration_version: int
    configuration_age_s: float
    registry_age_s: float | None
    members: tuple[MemberStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    routes: tuple[RouteStatus, ...]
    organisations: tuple[OrganisationStatus, ...]
    evacuations: tuple[EvacuationStatus, ...] = ()
    held: tuple[HeldStatus, ...] = ()
    held_limit_bytes: int = 0
    held_waiting: int = 0


def get_instance_status(app: Application) -> InstanceStatus:
    """Returns the status of an instance and its present view of the others."""
    catalog_service: CatalogService = app.get("catalog")
    membership: Membership = app.get("membership")
    account: MemoryAccount = app.get("resources").account
    catalog = catalog_service.catalog or Catalog(version=0)
    registry_age_s = now() - catalog_service.registry_read_at
    has_read = registry_age_s != float("inf")
    return InstanceStatus(
        instance=membership.self_member().name,
        is_leaving=app.get("gateway").leaving,
        configuration_version=catalog.version,
        configuration_age_s=(
            round(now() - catalog_service.in_force_since, 1) if catalog.version else 0.0
        ),
        registry_age_s=round(registry_age_s, 1) if has_read else None,
        members=tuple(
            MemberStatus(
                item.name,
                item.state.value,
                item.failure_domain,
                item.caller_address,
                item.configuration_version,
            )
            for item in membership.members()
        ),
        endpoints=tuple(
            _endpoint_status(app, item) for item in catalog_service.registry.all()
        ),
        routes=tuple(
            RouteStatus(
                item.name,
                item.host,
                item.path_prefix,
                item.kind.value,
                tuple(share.pool for share in item.shares),
            )
            for item in catalog.routes
        ),
        organisations=tuple(
            OrganisationStatus(item.name, len(item.keys), item.priority)
            for item in catalog.organisations or ()
        ),
        evacuations=tuple(
            EvacuationStatus(item.failure_domain, item.position)
            for item in catalog_service.evacuations.all
            if item.is_in_force
        ),
        held=_held_status(account, app.metrics),
        held_limit_bytes=account.limit,
        held_waiting=account.waiting,
    )


def _held_status(account: MemoryAccount, metrics: Metrics) -> tuple[HeldStatus, ...]:
    held, holders = account.held_by_kind(), account.counts_by_kind()
    return tuple(
        HeldStatus(
            kind.value,
            held.get(kind, 0),
            holders.get(kind, 0),
            int(metrics.value(SHED, kind=kind.value)),
        )
        for kind in HeldKind
    )


def _endpoint_status(app: Application, endpoint: Endpoint) -> EndpointStatus:
    placer: Placer = app.get("placement")
    load = app.get("load").table.load_of(endpoint.id, now())
    obstacle = app.get("eligibility").find_obstacle(endpoint)
    return EndpointStatus(
        endpoint.id,
        endpoint.pool,
        endpoint.address,
        endpoint.failure_domain,
        endpoint.state.value,
        load.in_progress,
        round(load.backlog_s, 3),
        placer.health.is_ejected(endpoint.id, now()),
        obstacle.reason if obstacle else "",
        app.get("limits").limit_of(endpoint),
    )
