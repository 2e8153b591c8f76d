"""How an instance keeps its tables fresh: who reads the store, who fetches from whom.

Importing it registers the service ``relay``; the adapter registers ``feed``.
"""

from cicadacourse.feed._delegation import STORE_READERS_PER_DOMAIN, ReadDelegation
from cicadacourse.feed._fleet import RegistryFeed
from cicadacourse.feed._relay import Relay
from cicadacourse.feed._source import TableFeed

__all__ = [
    "ReadDelegation",
    "RegistryFeed",
    "STORE_READERS_PER_DOMAIN",
    "Relay",
    "TableFeed",
]
