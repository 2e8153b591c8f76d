"""Keeps the configuration and the registry of an instance up to date.

They come from the store or from other instances.

Importing it registers the service ``relay``; the platform adapter registers ``feed``.
"""

from cicadacourse.feed._delegation import STORE_READERS_PER_DOMAIN, ReadDelegation
from cicadacourse.feed._evacuations import EvacuationFeed
from cicadacourse.feed._history import ConfigurationHistory
from cicadacourse.feed._registry_feed import RegistryFeed
from cicadacourse.feed._relay import Relay
from cicadacourse.feed._source import TableFeed

__all__ = [
    "ConfigurationHistory",
    "EvacuationFeed",
    "ReadDelegation",
    "RegistryFeed",
    "STORE_READERS_PER_DOMAIN",
    "Relay",
    "TableFeed",
]
