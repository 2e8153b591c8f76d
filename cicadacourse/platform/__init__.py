"""The adapter of the users' platform: the one place that knows its names.

Importing it registers its services: ``store`` and ``feed`` follow the platform's store,
``contacts`` finds the other instances, ``endpoint_caller`` speaks to
endpoints, ``ingress`` and ``probes`` to callers. ``Publisher`` and ``Caller`` serve the
operators' commands.
"""

from cicadacourse.platform._caller import Caller, RequestOutcome, RequestSpec
from cicadacourse.platform._endpoint_caller import PlatformEndpointClient
from cicadacourse.platform._feed import Feed
from cicadacourse.platform._ingress import Ingress
from cicadacourse.platform._instances import StoredContacts
from cicadacourse.platform._orders import PlatformKvCacheClient
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
    "PlatformEndpointClient",
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
