"""Messages of membership."""

from __future__ import annotations

from cicadacourse.membership._model import Member
from cicadacourse.peers import message


@message("membership.Ping")
class Ping:
    """A probe, or a request to probe another address.

    :param source: the asking instance's name.
    :param target: an address to probe on its behalf, or empty.
    :param deltas: what the asking side heard lately.
    """

    source: str
    target: str = ""
    deltas: tuple[Member, ...] = ()


@message("membership.Ack")
class Ack:
    """The answer to a probe.

    :param reached: whether the target answered.
    :param deltas: what the answering side heard lately.
    """

    reached: bool
    deltas: tuple[Member, ...] = ()


@message("membership.Sync")
class Sync:
    """All members that one side knows; the answer is what the other side knows."""

    members: tuple[Member, ...] = ()
