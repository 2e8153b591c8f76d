"""A model engine: continuous batching, prefix cache, sessions and orders."""

from standins.engine._answer import expected_text
from standins.engine._core import EngineCore
from standins.engine._faults import EngineFaults
from standins.engine._messages import (
    STATE_FINISHED,
    STATE_HELD,
    STATE_RESERVED,
    STATE_RUNNING,
    CacheEvent,
    Export,
    GenerateRequest,
    Import,
    Line,
    Load,
    MemberRef,
    Order,
    Prefill,
    Reservation,
    SessionInfo,
    SessionList,
    State,
)
from standins.engine._model import LoadedModel
from standins.engine._refusal import EngineRefusal
from standins.engine._settings import EngineSettings

__all__ = [
    "STATE_FINISHED",
    "STATE_HELD",
    "STATE_RESERVED",
    "STATE_RUNNING",
    "CacheEvent",
    "EngineCore",
    "EngineFaults",
    "EngineRefusal",
    "EngineSettings",
    "Export",
    "GenerateRequest",
    "Import",
    "Line",
    "Load",
    "LoadedModel",
    "MemberRef",
    "Order",
    "Prefill",
    "Reservation",
    "SessionInfo",
    "SessionList",
    "State",
    "expected_text",
]
