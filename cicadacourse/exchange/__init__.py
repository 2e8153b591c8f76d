"""Requests and responses as the parts of an instance exchange them."""

from cicadacourse.exchange._model import (
    CallerRequest,
    EndpointRequest,
    Header,
    Helper,
    Prompt,
    ResponseHead,
)
from cicadacourse.exchange._reply import Reply
from cicadacourse.exchange._source import EndpointClient, EndpointResponse, SendFailure

__all__ = [
    "CallerRequest",
    "EndpointResponse",
    "EndpointClient",
    "ResponseHead",
    "EndpointRequest",
    "Header",
    "Helper",
    "Prompt",
    "Reply",
    "SendFailure",
]
