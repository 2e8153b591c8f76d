"""What is checked on the instance that connects to an endpoint."""

from __future__ import annotations

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint, EndpointState
from cicadacourse.exchange import SendFailure


def _may_serve(current: Endpoint, chosen: Endpoint) -> bool:
    """Returns whether the entry of now still lists the endpoint that was chosen."""
    is_same_place = (current.address, current.pool) == (chosen.address, chosen.pool)
    is_ready = current.state is EndpointState.READY
    return is_ready and is_same_place and current.is_same_process(chosen)


def check_ready(app: Application, endpoint: Endpoint) -> None:
    """Checks an endpoint again, as time has passed since it was chosen.

    :raises SendFailure: if the endpoint leaves, is gone or has restarted, or if it
        wants no requests from this instance.
    """
    current = app.get("catalog").registry.find(endpoint.id)
    if current is None or not _may_serve(current, endpoint):
        detail = "the endpoint no longer accepts requests"
        raise SendFailure(detail, False, "endpoint_leaving", is_withdrawn=True)
    if not app.get("placement").declines.accepts(endpoint):
        detail = "the endpoint wants no requests from this instance"
        raise SendFailure(detail, False, "endpoint_declined", is_withdrawn=True)
