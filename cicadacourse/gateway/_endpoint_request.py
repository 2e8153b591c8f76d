"""Builds what one attempt sends to its endpoint."""

from __future__ import annotations

from cicadacourse.exchange import EndpointRequest, Helper
from cicadacourse.gateway._admission import AdmittedRequest
from cicadacourse.placement import Placement
from cicadacourse.reservations import Reservation
from cicadacourse.util.clock import now


def build_request(
    admitted: AdmittedRequest,
    placement: Placement,
    reservations: tuple[Reservation, ...],
    last_event_id: str | None,
    is_hedge: bool,
) -> EndpointRequest:
    """Returns the request of an attempt that is sent now.

    :param reservations: KV cache that is reserved on the placement's helpers.
    :param last_event_id: the event after which the stream resumes, or None.
    :param is_hedge: whether another attempt is in progress, which is silent. Kept
        connections may have fallen silent together with that one's.
    """
    reservation_id_by_endpoint = {item.endpoint.id: item.id for item in reservations}
    organisation = admitted.organisation
    return EndpointRequest(
        caller=admitted.request,
        endpoint=placement.endpoint,
        organisation=organisation.name if organisation else None,
        time_left_s=admitted.deadline - now(),
        helpers=tuple(
            Helper(item.address, reservation_id_by_endpoint.get(item.id))
            for item in placement.helpers
        ),
        last_event_id=last_event_id,
        needs_new_connection=is_hedge,
    )
