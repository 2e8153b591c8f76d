"""The load of the endpoints, as this instance and the others report it."""

from cicadacourse.load._messages import (
    Configuration,
    EndpointRecord,
    EvacuationRecord,
    FetchConfiguration,
    FetchRegistry,
    Registry,
)
from cicadacourse.load._model import Assignment, Role
from cicadacourse.load._receivers import Receivers, choose_receivers
from cicadacourse.load._service import LoadService
from cicadacourse.load._settings import LoadSettings
from cicadacourse.load._table import EndpointLoad, LoadTable

__all__ = [
    "Configuration",
    "EndpointLoad",
    "EndpointRecord",
    "EvacuationRecord",
    "FetchConfiguration",
    "FetchRegistry",
    "LoadTable",
    "LoadSettings",
    "LoadService",
    "Receivers",
    "Registry",
    "Role",
    "Assignment",
    "choose_receivers",
]
