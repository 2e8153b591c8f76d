"""Endpoints: who they are, whether they serve, and the calls they take."""

from cicadacourse.endpoints._client import EndpointClient, Lines
from cicadacourse.endpoints._curl import AbortableCurlClient, BodyStream
from cicadacourse.endpoints._directory import REASON_LEAVING, Directory
from cicadacourse.endpoints._http import HttpEndpointClient
from cicadacourse.endpoints._model import (
    SESSION_FINISHED,
    SESSION_HELD,
    SESSION_RESERVED,
    SESSION_RUNNING,
    Endpoint,
    EngineLoad,
    EngineSession,
    EngineState,
    KvExport,
    Order,
    SessionList,
    StreamLine,
)

__all__ = [
    "AbortableCurlClient",
    "BodyStream",
    "REASON_LEAVING",
    "Directory",
    "HttpEndpointClient",
    "SESSION_FINISHED",
    "SESSION_HELD",
    "SESSION_RESERVED",
    "SESSION_RUNNING",
    "Endpoint",
    "EndpointClient",
    "EngineLoad",
    "EngineSession",
    "EngineState",
    "KvExport",
    "Lines",
    "Order",
    "SessionList",
    "StreamLine",
]
