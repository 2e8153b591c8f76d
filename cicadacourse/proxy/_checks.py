"""What is checked on the instance that connects to an endpoint."""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint, EndpointState
from cicadacourse.exchange import SendFailure


def check_ready(app: Application, endpoint: Endpoint) -> None:
    """Checks an endpoint again, as time has passed since it was chosen.

    :raises SendFailure: if the endpoint leaves, is gone or has restarted, or if it
        wants no requests from this instance.
    """
    current = app.get("catalog").registry.find(endpoint.id)
    is_same = current is not None and current.is_same_process(endpoint)
    if not is_same or current.state is not EndpointState.READY:
        detail = "the endpoint no longer accepts requests"
        raise SendFailure(detail, False, "endpoint_leaving", is_withdrawn=True)
    if not app.get("placement").declines.accepts(endpoint):
        detail = "the endpoint wants no requests from this instance"
        raise SendFailure(detail, False, "endpoint_declined", is_withdrawn=True)
