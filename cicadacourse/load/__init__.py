"""The load of the endpoints, as this instance and the others report it."""

from cicadacourse.load._book import EndpointLoad, LoadTable
from cicadacourse.load._messages import (
    Configuration,
    EndpointRecord,
    FetchConfiguration,
    FetchRegistry,
    Registry,
)
from cicadacourse.load._model import Assignment, Role
from cicadacourse.load._service import LoadService
from cicadacourse.load._settings import LoadSettings
from cicadacourse.load._spread import Receivers, choose_receivers

__all__ = [
    "Configuration",
    "EndpointLoad",
    "EndpointRecord",
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
