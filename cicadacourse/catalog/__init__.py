"""The configuration in force and the registry of the endpoints that serve it."""

from cicadacourse.catalog._cold import ColdEndpoints
from cicadacourse.catalog._endpoint import (
    Endpoint,
    EndpointState,
    ListedEndpoint,
    ProcessKey,
    RegistryCopy,
)
from cicadacourse.catalog._engine import EngineProfile
from cicadacourse.catalog._entry_positions import UNKNOWN_POSITION, EntryPositions
from cicadacourse.catalog._evacuations import Evacuation, Evacuations
from cicadacourse.catalog._freshness import ConfigurationFreshness
from cicadacourse.catalog._model import (
    CallerLimits,
    Catalog,
    Organisation,
    Pool,
    PoolShare,
    Route,
    RouteKind,
    find_allowed_regions,
)
from cicadacourse.catalog._process_memory import ProcessMemory
from cicadacourse.catalog._registry import EndpointRegistry
from cicadacourse.catalog._service import CatalogService
from cicadacourse.catalog._settings import CatalogSettings

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogService",
    "CatalogSettings",
    "ColdEndpoints",
    "ConfigurationFreshness",
    "Endpoint",
    "EndpointState",
    "EngineProfile",
    "EndpointRegistry",
    "EntryPositions",
    "Evacuation",
    "Evacuations",
    "ListedEndpoint",
    "Organisation",
    "Pool",
    "PoolShare",
    "ProcessKey",
    "ProcessMemory",
    "RegistryCopy",
    "Route",
    "RouteKind",
    "UNKNOWN_POSITION",
    "find_allowed_regions",
]
