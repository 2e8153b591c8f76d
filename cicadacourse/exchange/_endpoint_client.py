"""Interfaces for sending requests to endpoints and reading their responses."""

from __future__ import annotations

import abc
import contextlib
from typing import Awaitable, Callable

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.exchange._model import EndpointRequest, ResponseHead

# The largest body that is read before it is forwarded. Larger ones count as malformed:
# a faulty endpoint may send bytes without end.
MAX_BODY_BYTES = 8 * 1024 * 1024


@attrs.define
class SendFailure(Exception):
    """An endpoint gave no complete response.

    :param detail: a description of the failure.
    :param may_have_run: False only if no part of the request can have arrived.
    :param reason: the label for logs and metrics.
    :param is_withdrawn: whether nothing was sent as the endpoint leaves or is gone.
    :param is_broken_off: whether the connection ended before the response did.
    :param is_peer_lost: whether the instance was lost through which the exchange went,
        which says nothing of the endpoint.
    """

    detail: str
    may_have_run: bool
    reason: str
    is_withdrawn: bool = False
    is_broken_off: bool = False
    is_peer_lost: bool = False

    def __str__(self) -> str:
        return self.detail


def check_status(head: ResponseHead) -> None:
    """Checks that a response has a status; a faulty endpoint may send any number.

    :raises SendFailure: if it has none. The request was sent and may have run.
    """
    if not head.is_valid:
        detail = f"{head.status} is no status of a response"
        raise SendFailure(detail, True, "malformed_answer")


class EndpointResponse(abc.ABC):
    """A response of an endpoint whose body is being read.

    :ivar head: its status and headers.
    :ivar length: the size of its body in bytes, None if it is not known.
    """

    head: ResponseHead
    length: int | None = None

    @abc.abstractmethod
    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or no bytes at its end.

        :raises SendFailure: if the response breaks off.
        """

    async def read_all(
        self,
        on_wait: Callable[[], None],
        make_room: Callable[[int], Awaitable[None]],
    ) -> bytes:
        """Returns the rest of the body.

        :param on_wait: called whenever the wait for the next bytes begins.
        :param make_room: waits until there is room for so many bytes of the body.
        :raises SendFailure: if the response breaks off, or if the rest is larger than
            ``MAX_BODY_BYTES``.
        """
        parts = []
        size = 0
        on_wait()
        while part := await self.read_chunk():
            size += len(part)
            if size > MAX_BODY_BYTES:
                detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
                raise SendFailure(detail, True, "body_too_large")
            await make_room(size)
            parts.append(part)
            on_wait()
        return b"".join(parts)


class EndpointConnection(abc.ABC):
    """A connection to an endpoint, for one exchange; nothing has been sent on it yet.

    :ivar via: the name of the instance through which it goes, None if it is direct.
    :ivar is_kept: whether it has been used before, and shows nothing of the link now.
    """

    via: str | None = None
    is_kept: bool = False

    @abc.abstractmethod
    async def send(
        self, request: EndpointRequest, head_timeout_s: float
    ) -> EndpointResponse:
        """Sends a request and returns the response once its head is read.

        :param head_timeout_s: seconds to wait for the head of the response.
        :raises SendFailure: if the connection breaks or no head comes in time.
        """


class EndpointConnector(abc.ABC):
    """Connects this instance directly to endpoints.

    Its service is named ``endpoint_connector``.
    """

    @abc.abstractmethod
    def connect(
        self, endpoint: Endpoint, is_idempotent: bool, needs_new_connection: bool
    ) -> contextlib.AbstractAsyncContextManager[EndpointConnection]:
        """Yields a connection, a kept one or a new one.

        A kept one is used only if it has carried data since a connection to the
        endpoint failed last. Leaving the context cancels an exchange that is not
        complete.

        :param is_idempotent: whether the request may run more than once.
        :param needs_new_connection: whether a kept connection may not be used.
        :raises SendFailure: if the endpoint can't be connected to.
        """

    def has_kept_connection(self, endpoint: Endpoint, is_idempotent: bool) -> bool:
        """Returns whether a kept connection may be used now.

        :param is_idempotent: whether the request may run more than once.
        """
        return False

    @abc.abstractmethod
    async def is_refused(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint's host refuses a connection to its address.

        A connection that isn't made in time is not refused.
        """

    @abc.abstractmethod
    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes the connections to an endpoint that wait for their next use."""

    @abc.abstractmethod
    def abort_exchanges(self, endpoint_id: str) -> None:
        """Aborts all exchanges with an endpoint that is known to be dead."""


class EndpointClient(abc.ABC):
    """Sends requests to endpoints; its service is named ``endpoint_caller``."""

    @abc.abstractmethod
    def exchange(
        self,
        request: EndpointRequest,
        is_idempotent: bool,
        head_timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> contextlib.AbstractAsyncContextManager[EndpointResponse]:
        """Sends a request and yields the response once its head is read.

        Leaving the context before the body is read to its end cancels the request.

        :param is_idempotent: whether the request may run more than once.
        :param head_timeout_s: seconds to wait for the head of the response.
        :param regions: the regions that may serve the request; None if all may.
        :raises SendFailure: if the endpoint is unreachable, breaks off, sends no head
            in time, or may no longer be used before the request is sent.
        """

    @abc.abstractmethod
    async def is_process_gone(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint's process has certainly ended.

        An endpoint that doesn't respond may be cut off, and counts as running.
        """

    @abc.abstractmethod
    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes the connections to an endpoint that wait for their next use."""

    @abc.abstractmethod
    def abort_exchanges(self, endpoint_id: str) -> None:
        """Aborts all exchanges with an endpoint that is known to be dead."""
