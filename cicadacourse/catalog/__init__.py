"""What is in force: routes, pools, organisations, and the endpoints that serve them."""

from cicadacourse.catalog._endpoint import Endpoint, EndpointState
from cicadacourse.catalog._engine import EngineProfile
from cicadacourse.catalog._fleet import EndpointRegistry
from cicadacourse.catalog._model import (
    CallerLimits,
    Catalog,
    Organisation,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from cicadacourse.catalog._service import CatalogService

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogService",
    "Endpoint",
    "EndpointState",
    "EngineProfile",
    "EndpointRegistry",
    "Organisation",
    "Pool",
    "PoolShare",
    "Route",
    "RouteKind",
]
