"""The messages by which an instance asks another for a permit."""

from __future__ import annotations

from cicadacourse.peers import message


@message("limits.AcquirePermit")
class AcquirePermit:
    """Asks the instance that keeps a schedule for one permit.

    :param key: what the schedule is for.
    :param rate: permits per second, as far as the asking instance knows.
    :param max_wait_s: how long the asking instance would wait, in seconds.
    :param is_initially_full: whether a schedule that begins with this request has a
        permit at once.
    """

    key: str
    rate: float
    max_wait_s: float
    is_initially_full: bool = False


@message("limits.Permit")
class Permit:
    """The reply to :class:`AcquirePermit`.

    :param wait_s: after how many seconds the permit may be used; if it is not granted,
        after how many seconds the next one would be free.
    """

    is_granted: bool
    wait_s: float
