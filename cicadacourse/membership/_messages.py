"""Messages of the membership protocol; each carries the sender's own record."""

from __future__ import annotations

from cicadacourse.membership._model import Member
from cicadacourse.peers import message


@message("membership.Ping")
class Ping:
    """A probe, or a request for an indirect probe of another address.

    :param target: an address to probe on the sender's behalf, or empty.
    :param deltas: recent changes of members that the sender gossips.
    """

    sender: Member
    target: str = ""
    deltas: tuple[Member, ...] = ()


@message("membership.Ack")
class Ack:
    """The answer to a probe.

    :param reached: whether the target answered; true if the probe named none.
    :param deltas: recent changes of members that the answering side gossips.
    """

    sender: Member
    reached: bool = True
    deltas: tuple[Member, ...] = ()


@message("membership.SyncDigest")
class SyncDigest:
    """Opens an anti-entropy exchange.

    :param digest: hash over the records of the sender and of all members that are not
        dead in its view.
    :param deltas: recent changes, with the record of the other side that it may have
        to refute.
    """

    sender: Member
    digest: int
    deltas: tuple[Member, ...] = ()


@message("membership.SyncHashes")
class SyncHashes:
    """The answer to a digest: one hash per bucket, none if the digests are equal."""

    sender: Member
    hashes: tuple[int, ...] = ()
    deltas: tuple[Member, ...] = ()


@message("membership.SyncMembers")
class SyncMembers:
    """All members of the buckets that differ, the dead included.

    It is answered by those of the other side.
    """

    sender: Member
    buckets: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()
