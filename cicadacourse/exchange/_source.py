"""How requests are sent to endpoints and their answers read."""

from __future__ import annotations

import abc
import contextlib

import attrs

from cicadacourse.exchange._model import EndpointRequest, ResponseHead


@attrs.define
class SendFailure(Exception):
    """An endpoint gave no whole answer.

    :param detail: what was seen.
    :param may_have_run: False only if nothing of the request can have arrived.
    :param reason: the label for logs and metrics.
    """

    detail: str
    may_have_run: bool
    reason: str

    def __str__(self) -> str:
        return self.detail


class EndpointResponse(abc.ABC):
    """An answer that is being read.

    :ivar head: its beginning.
    """

    head: ResponseHead

    @abc.abstractmethod
    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or none at its proper end.

        :raises SendFailure: if the answer breaks off.
        """

    async def read_all(self) -> bytes:
        """Returns the rest of the body.

        :raises SendFailure: if the answer breaks off.
        """
        parts = []
        while part := await self.read_chunk():
            parts.append(part)
        return b"".join(parts)


class EndpointClient(abc.ABC):
    """Sends requests to endpoints; the service is named ``endpoint_caller``."""

    @abc.abstractmethod
    def exchange(
        self, request: EndpointRequest, is_idempotent: bool, head_timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[EndpointResponse]:
        """Sends a request and yields its answer once the head is read.

        Leaving the context before the body was read whole cancels the request.

        :raises SendFailure: if no head came in time.
        """

    @abc.abstractmethod
    def abort_exchanges(self, endpoint_id: str) -> None:
        """Ends all exchanges with an endpoint that is known to be dead."""
