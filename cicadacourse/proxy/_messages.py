"""The messages by which an instance has an exchange carried by another."""

from __future__ import annotations

import attrs

from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import EndpointRequest, ResponseHead, SendFailure
from cicadacourse.peers import message

# Why an instance doesn't carry an exchange, besides the reasons of a SendFailure.
REASON_LEAVING = "leaving"
REASON_BUSY = "busy"
REASON_LINK_LOST = "link_lost"
REASON_CLOSED = "closed"
# Why an instance does not answer for an exchange: in the second case, it is certain
# that the request was not sent.
REASON_UNKNOWN_EXCHANGE = "unknown_exchange"
REASON_NOT_SENT = "not_sent"


@message("proxy.OpenProxied")
class OpenProxied:
    """Asks for a connection to an endpoint.

    :param exchange: the id of the exchange, which the sender chooses.
    :param sender: the name of the sending instance, for the log.
    :param request: the caller's id of the request, for the log.
    :param is_idempotent: whether the request may run more than once.
    :param needs_new_connection: whether a kept connection may not be used.
    :param body_bytes: the size of the request's body.
    """

    exchange: str
    sender: str
    request: str
    endpoint: Endpoint
    is_idempotent: bool
    needs_new_connection: bool
    body_bytes: int = 0


@message("proxy.ProxiedOpened")
class ProxiedOpened:
    """The reply to :class:`OpenProxied`: the connection is there.

    :param is_kept: whether the connection has been used before.
    """

    is_kept: bool = False


@message("proxy.SendProxied")
class SendProxied:
    """Sends the request of an open exchange; the reply is its first piece.

    :param request: the request, with the time that is left when it is sent.
    :param head_timeout_s: seconds to wait for the head of the response.
    """

    exchange: str
    request: EndpointRequest
    head_timeout_s: float


@message("proxy.ReadProxied")
class ReadProxied:
    """Asks for one piece of a response, or only keeps the exchange.

    :param number: the number of the piece, which is that of the last one or one more.
    :param is_keep_alive: whether no piece is asked for: the sender still has the last
        one, and the exchange goes on. The reply is a pending piece.
    """

    exchange: str
    number: int
    is_keep_alive: bool = False


@attrs.frozen
class ExchangeFailure:
    """A :class:`~cicadacourse.exchange.SendFailure` as a part of a message."""

    detail: str
    may_have_run: bool
    reason: str
    is_withdrawn: bool = False
    is_broken_off: bool = False

    @classmethod
    def of(cls, failure: SendFailure) -> ExchangeFailure:
        """Returns a failure as a part of a message."""
        return cls(
            failure.detail,
            failure.may_have_run,
            failure.reason,
            failure.is_withdrawn,
            failure.is_broken_off,
        )

    def to_exception(self) -> SendFailure:
        """Returns the failure to raise."""
        return SendFailure(
            self.detail,
            self.may_have_run,
            self.reason,
            self.is_withdrawn,
            self.is_broken_off,
        )


@message("proxy.ProxiedPiece")
class ProxiedPiece:
    """A part of a response.

    :param number: 0 is the head, the later pieces are the body in order.
    :param is_pending: whether the piece has not come yet.
    :param is_end: whether the body is complete; the piece then has no data.
    :param data: bytes of the body.
    :param head: the head, in piece 0 only.
    :param failure: why no more of the response comes, or None.
    """

    number: int
    is_pending: bool = False
    is_end: bool = False
    data: bytes = b""
    head: ResponseHead | None = None
    failure: ExchangeFailure | None = None

    @property
    def is_last(self) -> bool:
        """Whether no piece follows."""
        return self.is_end or self.failure is not None


@message("proxy.CloseProxied")
class CloseProxied:
    """Ends an exchange; one in progress is cancelled at its endpoint.

    :param closes_kept: whether the connections to the endpoint that wait for their next
        use are closed too, as they may be silent.
    """

    exchange: str
    closes_kept: bool = False


@message("proxy.ProxiedClosed")
class ProxiedClosed:
    """The reply to :class:`CloseProxied`."""
