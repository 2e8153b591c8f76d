"""Stand-ins for the users' platform: its store, its engines and plain services."""

from standins.platform._configuration import (
    ENGINE_POOL,
    HOST,
    KEY,
    ORGANISATION,
    PLAIN_POOL,
    PROFILE,
    make_configuration,
)
from standins.platform._engine import Engine, EngineRefusal
from standins.platform._fleet import Fleet, RegisteredEndpoint
from standins.platform._store import StoreCore, StoreFaults
from standins.platform._worker import (
    Arrival,
    Crash,
    Decline,
    RequestContent,
    Worker,
    WorkerFaults,
)

__all__ = [
    "Arrival",
    "Crash",
    "Decline",
    "ENGINE_POOL",
    "Engine",
    "EngineRefusal",
    "Fleet",
    "HOST",
    "KEY",
    "RegisteredEndpoint",
    "ORGANISATION",
    "PLAIN_POOL",
    "PROFILE",
    "RequestContent",
    "StoreCore",
    "StoreFaults",
    "Worker",
    "WorkerFaults",
    "make_configuration",
]
