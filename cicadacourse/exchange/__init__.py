"""Requests and responses as the parts of an instance exchange them."""

from cicadacourse.exchange._endpoint_client import (
    MAX_BODY_BYTES,
    EndpointClient,
    EndpointConnection,
    EndpointConnector,
    EndpointResponse,
    SendFailure,
    check_status,
)
from cicadacourse.exchange._model import (
    CallerRequest,
    EndpointRequest,
    Header,
    Helper,
    Prompt,
    ResponseHead,
)
from cicadacourse.exchange._reply import Reply

__all__ = [
    "MAX_BODY_BYTES",
    "CallerRequest",
    "EndpointResponse",
    "EndpointClient",
    "EndpointConnection",
    "EndpointConnector",
    "ResponseHead",
    "EndpointRequest",
    "Header",
    "Helper",
    "Prompt",
    "Reply",
    "SendFailure",
    "check_status",
]
