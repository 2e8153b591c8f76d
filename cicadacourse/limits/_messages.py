"""Messages of limits."""

from __future__ import annotations

from cicadacourse.peers import message


@message("limits.SliceRequest")
class SliceRequest:
    """Asks for a part of an organisation's token bucket on one route.

    :param rate: tokens per second, as the asking side's tables have it.
    :param burst: the most tokens at once, likewise.
    :param needed: fewer tokens than this are of no use.
    :param wanted: what the asking side can use during the life of a slice.
    """

    organisation: str
    route: str
    rate: float
    burst: float
    needed: float
    wanted: float


@message("limits.SliceReply")
class SliceReply:
    """A slice.

    :param tokens: tokens to spend; 0 if fewer than needed are there.
    :param level: tokens left in the bucket.
    """

    tokens: float
    level: float
