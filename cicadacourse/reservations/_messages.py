"""The message by which an instance has an order sent by another."""

from __future__ import annotations

from cicadacourse.peers import message


@message("reservations.SendOrder")
class SendOrder:
    """Reserves or releases KV cache on one process of an engine.

    :param sender: the name of the sending instance, for the log.
    :param process_key: the process, see :attr:`Endpoint.process_key`.
    :param tokens: the number of tokens to reserve, 0 for a release.
    :param hold_s: seconds after which the reservation expires, 0 for a release.
    :param is_renewal: whether a request in progress holds the reservation.
    """

    sender: str
    endpoint_id: str
    process_key: str
    reservation_id: str
    tokens: int = 0
    hold_s: float = 0.0
    is_release: bool = False
    is_renewal: bool = False


@message("reservations.OrderDone")
class OrderDone:
    """The reply to :class:`SendOrder`: the engine has done it."""
