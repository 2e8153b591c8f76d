"""Requests of callers, and what is sent to endpoints for them."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint


@attrs.frozen
class Header:
    """One header that is passed on as it came."""

    name: str
    value: str


@attrs.frozen
class Prompt:
    """What a caller says of its prompt.

    :param model: the model's name.
    :param tokens: tokens of the whole prompt.
    :param max_output_tokens: the most that may be written.
    """

    model: str
    tokens: int
    max_output_tokens: int


@attrs.frozen
class CallerRequest:
    """One request as a caller sent it, read whole.

    :param id: the caller's id of this attempt; empty if it gave none.
    :param method: the HTTP method.
    :param host: the host that the caller named.
    :param target: path and query, unchanged.
    :param key: the key, or None.
    :param arrived: when its headers were read, loop time in seconds.
    :param timeout_s: how long the caller waits, or None if it doesn't say.
    :param last_event_id: where a resumed stream goes on, or None.
    :param prompt: None for requests to plain services.
    :param headers: all that are passed on unchanged.
    :param body: the whole body.
    :param header_bytes: size of all its headers.
    """

    id: str
    method: str
    host: str
    target: str
    key: str | None
    arrived: float
    timeout_s: float | None
    last_event_id: str | None
    prompt: Prompt | None
    headers: tuple[Header, ...]
    body: bytes
    header_bytes: int = 0


@attrs.frozen
class Helper:
    """An engine that reads a part of a prompt.

    :param address: where it is.
    :param reservation_id: the id of memory reserved there, or None.
    """

    address: str
    reservation_id: str | None = None


@attrs.frozen
class EndpointRequest:
    """What one attempt sends to an endpoint.

    :param caller: the caller's request.
    :param endpoint: the endpoint that it is meant for.
    :param organisation: the caller's organisation, or None on public routes.
    :param time_left_s: after which the endpoint stops working on it.
    :param helpers: engines that read along.
    :param last_event_id: where the stream goes on, or None for its start.
    """

    caller: CallerRequest
    endpoint: Endpoint
    organisation: str | None
    time_left_s: float
    helpers: tuple[Helper, ...] = ()
    last_event_id: str | None = None


@attrs.frozen
class ResponseHead:
    """The beginning of an endpoint's answer.

    :param status: the HTTP status.
    :param headers: those that are passed on to the caller.
    :param never_ran: whether the endpoint says that it did not run the request.
    :param fault_address: the address of the endpoint that the answer blames, or None.
    """

    status: int
    headers: tuple[Header, ...]
    never_ran: bool = False
    fault_address: str | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300
