"""Messages of membership; each carries the sender's own record."""

from __future__ import annotations

from cicadacourse.membership._model import Member
from cicadacourse.peers import message


@message("membership.Ping")
class Ping:
    """A probe, or a request to probe another address.

    :param target: an address to probe on the sender's behalf, or empty.
    :param deltas: what the sender heard lately.
    """

    sender: Member
    target: str = ""
    deltas: tuple[Member, ...] = ()


@message("membership.Ack")
class Ack:
    """The answer to a probe.

    :param reached: whether the target answered.
    :param deltas: what the answering side heard lately.
    """

    sender: Member
    reached: bool = True
    deltas: tuple[Member, ...] = ()


@message("membership.SyncDigest")
class SyncDigest:
    """Opens an anti-entropy exchange.

    :param digest: hash over all that the sender knows.
    :param deltas: what the other side must hear about itself.
    """

    sender: Member
    digest: int
    deltas: tuple[Member, ...] = ()


@message("membership.SyncHashes")
class SyncHashes:
    """One hash per bucket of members; none if the digests are equal."""

    sender: Member
    hashes: tuple[int, ...] = ()
    deltas: tuple[Member, ...] = ()


@message("membership.SyncMembers")
class SyncMembers:
    """All members of some buckets; the answer is what the other side knows."""

    sender: Member
    buckets: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()
