"""Callers' requests, and the requests that are sent to endpoints for them."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint


@attrs.frozen
class Header:
    """One HTTP header that is forwarded unchanged."""

    name: str
    value: str


@attrs.frozen
class Prompt:
    """The model and the token counts that a caller states for its prompt.

    :param model: the model's name.
    :param tokens: tokens of the whole prompt.
    :param max_output_tokens: the maximum number of output tokens.
    :param shared_part_ids: the ids of the parts that other prompts may share, in order.
    """

    model: str
    tokens: int
    max_output_tokens: int
    shared_part_ids: tuple[str, ...] = ()


@attrs.frozen
class CallerRequest:
    """One request as a caller sent it, read completely.

    :param id: the id that the caller gave this attempt; empty if it gave none.
    :param method: the HTTP method.
    :param host: the host that the caller named.
    :param target: path and query, unchanged.
    :param key: the API key of an organisation, or None.
    :param arrived: when its headers were read, loop time in seconds.
    :param timeout_s: how long the caller waits for the whole response, or None if it
        does not state a limit.
    :param last_event_id: the last event that the caller received of a resumed stream,
        or None.
    :param prompt: None if the caller states none: the request is then a call, usually
        to a plain service.
    :param headers: the headers that are forwarded unchanged.
    :param body: the complete body.
    :param header_bytes: the size of all headers in bytes.
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
    """An engine that prefills a part of another engine's prompt.

    :param address: its ``IP:port``.
    :param reservation_id: the id of the KV-cache reservation there, or None.
    """

    address: str
    reservation_id: str | None = None


@attrs.frozen
class EndpointRequest:
    """What one attempt sends to an endpoint.

    :param caller: the caller's request.
    :param endpoint: the endpoint that the request is sent to.
    :param organisation: the name of the caller's organisation, or None.
    :param time_left_s: seconds after which the endpoint stops working on it.
    :param helpers: engines that each prefill a part of the prompt.
    :param last_event_id: the event after which the stream resumes, or None for its
        start.
    :param needs_new_connection: whether it may not be sent on a kept connection, as
        these may be silent.
    """

    caller: CallerRequest
    endpoint: Endpoint
    organisation: str | None
    time_left_s: float
    helpers: tuple[Helper, ...] = ()
    last_event_id: str | None = None
    needs_new_connection: bool = False


@attrs.frozen
class ResponseHead:
    """The status line and the headers of a response.

    :param status: the HTTP status code.
    :param headers: the headers that are forwarded to the caller.
    :param never_ran: whether the endpoint states that it did not run the request.
    :param fault_address: the address of the endpoint at fault according to the
        response, or None.
    :param request_limit: the requests per second that the endpoint takes from all
        instances together, or None if it names no limit.
    :param is_limit_malformed: whether it names a limit that can't be read.
    :param is_misdirected: whether another endpoint responded than the request is for.
    :param retry_after_s: for how many seconds the endpoint wants no further request
        from this instance, or None if it states no such time.
    :param is_retry_after_malformed: whether it states one that can't be read.
    :param is_leaving: whether the endpoint states that its process is shutting down.
    """

    status: int
    headers: tuple[Header, ...]
    never_ran: bool = False
    fault_address: str | None = None
    request_limit: float | None = None
    is_limit_malformed: bool = False
    is_misdirected: bool = False
    retry_after_s: float | None = None
    is_retry_after_malformed: bool = False
    is_leaving: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the status is one of a final response."""
        return 200 <= self.status < 600

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> str:
        """The media type of the body in lower case, empty if it has none."""
        for header in self.headers:
            if header.name.lower() == "content-type":
                return header.value.partition(";")[0].strip().lower()
        return ""

    @property
    def is_server_error(self) -> bool:
        """Whether the status is 500 or above."""
        return self.status >= 500
