"""Messages by which instances ask each other whether they reach an endpoint."""

from __future__ import annotations

from cicadacourse.peers import message


@message("reachability.CheckEndpoint")
class CheckEndpoint:
    """Asks an instance whether it reaches one process of an endpoint.

    :param process_key: the process, see :attr:`Endpoint.process_key`.
    :param is_refused: whether the endpoint's host refused the sender's connection, so
        that only a connection that is tried from now on counts.
    """

    endpoint_id: str
    process_key: str
    is_refused: bool = False


@message("reachability.EndpointChecked")
class EndpointChecked:
    """The answer; neither is true if the instance can't tell in time.

    :param is_reached: whether it is connected to the process.
    :param is_refused: whether its connection was refused, or another process has
        replaced that one.
    """

    is_reached: bool = False
    is_refused: bool = False
