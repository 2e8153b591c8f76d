"""The machine of an instance, and one account of what callers make it hold.

Importing it declares the settings section ``resources`` and registers the service of
that name, which owns the account. All memory that a client can make an instance hold is
charged to it; see docs/design/unruly-clients.md.
"""

from cicadacourse.resources._account import SHED, MemoryAccount, NoRoom
from cicadacourse.resources._holding import HeldKind, Holding
from cicadacourse.resources._lanes import SMALL_BYTES
from cicadacourse.resources._service import Resources
from cicadacourse.resources._settings import ResourceSettings

__all__ = [
    "HeldKind",
    "Holding",
    "MemoryAccount",
    "NoRoom",
    "ResourceSettings",
    "Resources",
    "SHED",
    "SMALL_BYTES",
]
