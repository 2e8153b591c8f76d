"""What an instance tells operators of itself, as ``cicadacourse show`` asks for it."""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Catalog, CatalogService, Endpoint
from cicadacourse.membership import Membership
from cicadacourse.placement import Placer
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
    """One endpoint and what is in progress there, as far as an instance knows.

    :param backlog_s: seconds of reading that an engine has yet to do.
    :param is_set_aside: whether it gets nothing for now, as it seems to fail.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    state: str
    in_progress: int
    backlog_s: float
    is_set_aside: bool


@attrs.frozen
class RouteStatus:
    """One route in force; ``pools`` are its pools' names."""

    name: str
    host: str
    path_prefix: str
    kind: str
    pools: tuple[str, ...]


@attrs.frozen
class OrganisationStatus:
    """One organisation; its keys are counted, not told."""

    name: str
    keys: int
    priority: int | None


@attrs.frozen
class InstanceStatus:
    """All that one instance believes.

    :param configuration_version: the version in force, 0 if there is none.
    :param configuration_age_s: for how long it has been in force here.
    :param registry_age_s: how long ago the registry was read here, or None if never.
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


def get_instance_status(app: Application) -> InstanceStatus:
    """Returns what an instance believes now."""
    keeper: CatalogService = app.get("catalog")
    membership: Membership = app.get("membership")
    catalog = keeper.catalog or Catalog(version=0)
    registry_age_s = now() - keeper.registry_read_at
    has_read = registry_age_s != float("inf")
    return InstanceStatus(
        instance=membership.self_member().name,
        is_leaving=app.get("gateway").leaving,
        configuration_version=catalog.version,
        configuration_age_s=(
            round(now() - keeper.in_force_since, 1) if catalog.version else 0.0
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
        endpoints=tuple(_endpoint(app, item) for item in keeper.registry.all()),
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
            for item in catalog.organisations
        ),
    )


def _endpoint(app: Application, endpoint: Endpoint) -> EndpointStatus:
    placer: Placer = app.get("placement")
    load = app.get("load").table.load_of(endpoint.id, now())
    return EndpointStatus(
        endpoint.id,
        endpoint.pool,
        endpoint.address,
        endpoint.failure_domain,
        endpoint.state.value,
        load.in_progress,
        round(load.backlog_s, 3),
        placer.health.is_ejected(endpoint.id, now()),
    )
