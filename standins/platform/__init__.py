"""Stand-ins for the users' platform: its store, its engines and plain services."""

from standins.platform._engine import Engine, EngineRefusal
from standins.platform._fleet import (
    ENGINE_POOL,
    HOST,
    KEY,
    ORGANISATION,
    PLAIN_POOL,
    PROFILE,
    Fleet,
    RegisteredEndpoint,
    make_configuration,
)
from standins.platform._store import StoreCore, StoreFaults
from standins.platform._worker_http import Worker, WorkerFaults

__all__ = [
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
    "StoreCore",
    "StoreFaults",
    "Worker",
    "WorkerFaults",
    "make_configuration",
]
