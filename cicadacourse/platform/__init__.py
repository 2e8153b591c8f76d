"""The adapter to the users' platform.

No other package of ``cicadacourse`` uses the platform's names.

Importing it registers its services: ``store`` is the client of the platform's store,
``feed`` follows its topics, ``contacts`` finds the other instances,
``endpoint_connector`` and ``direct_memory_client`` send requests and orders to
endpoints, ``ingress`` serves callers, and ``probes`` serves readiness probes, look-ups
and scrapes. ``Publisher`` and ``Caller`` are used by the operators' commands.
"""

from cicadacourse.platform._caller import Caller, RequestOutcome, RequestSpec
from cicadacourse.platform._endpoint_connector import PlatformEndpointConnector
from cicadacourse.platform._feed import Feed
from cicadacourse.platform._ingress import Ingress
from cicadacourse.platform._instances import StoredContacts
from cicadacourse.platform._kv_cache_client import PlatformKvCacheClient
from cicadacourse.platform._probes import Probes
from cicadacourse.platform._publisher import (
    Publisher,
    PublishOutcome,
    StoredConfiguration,
)
from cicadacourse.platform._settings import ListenSettings, StoreSettings
from cicadacourse.platform._store import Store, StoreClient

__all__ = [
    "Caller",
    "Feed",
    "Ingress",
    "ListenSettings",
    "PlatformEndpointConnector",
    "PlatformKvCacheClient",
    "Probes",
    "PublishOutcome",
    "Publisher",
    "RequestSpec",
    "Store",
    "StoreClient",
    "StoreSettings",
    "StoredConfiguration",
    "StoredContacts",
    "RequestOutcome",
]
