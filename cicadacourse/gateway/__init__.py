"""Admits, forwards and retries callers' requests; each gets exactly one response."""

from cicadacourse.gateway._admission import leaving_error
from cicadacourse.gateway._events import MAX_EVENT_BYTES
from cicadacourse.gateway._head import BodyTerms
from cicadacourse.gateway._service import Gateway
from cicadacourse.gateway._settings import GatewaySettings
from cicadacourse.gateway._status import (
    PATH_STATUS,
    EndpointStatus,
    InstanceStatus,
    MemberStatus,
    OrganisationStatus,
    RouteStatus,
    get_instance_status,
)

__all__ = [
    "BodyTerms",
    "EndpointStatus",
    "Gateway",
    "MAX_EVENT_BYTES",
    "GatewaySettings",
    "InstanceStatus",
    "MemberStatus",
    "OrganisationStatus",
    "PATH_STATUS",
    "RouteStatus",
    "get_instance_status",
    "leaving_error",
]
