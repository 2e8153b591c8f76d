"""For how long a caller's connection may wait for a request.

The expected load is a configuration that changes up to once a second. A caller may keep
to the one before for some time, so a limit that is lowered meanwhile must not close a
connection that the caller is about to use.
"""

from __future__ import annotations

import attrs

from cicadacourse.catalog import CallerLimits


@attrs.frozen
class _FormerLimits:
    """Limits that were replaced at a loop time in seconds."""

    limits: CallerLimits
    replaced_at: float


@attrs.define
class WaitLimits:
    """The limits in force, and the former ones that still count.

    A former limit counts for waits that began before it was replaced or up to
    ``bound_s`` after that, if it is longer than the one in force.

    :param bound_s: for how long callers may keep to a configuration that was replaced,
        in seconds.
    :param margin_s: added to each limit, in seconds, so that a caller that keeps to it
        does not send on a connection that is being closed.
    """

    bound_s: float
    margin_s: float
    _current: CallerLimits
    _is_configured: bool = False
    _former: list[_FormerLimits] = attrs.field(factory=list)

    def apply(self, limits: CallerLimits, now_s: float) -> None:
        """Puts limits in force.

        :param now_s: the present, loop time in seconds.
        """
        if self._is_configured and limits != self._current:
            self._former = [
                item
                for item in self._former
                if self._may_count(item, now_s) and not _covers(limits, item.limits)
            ]
            if not _covers(limits, self._current):
                self._former.append(_FormerLimits(self._current, now_s))
        self._current = limits
        self._is_configured = True

    def idle_s(self, since: float) -> float:
        """Returns for how long nothing may come, in seconds.

        :param since: when the wait began, loop time in seconds.
        """
        longest_s = max(item.idle_timeout_s for item in self._limits_of(since))
        return longest_s + self.margin_s

    def header_s(self, since: float) -> float:
        """Returns how long the head of a request may take, in seconds.

        :param since: when the wait for it began, loop time in seconds.
        """
        longest_s = max(item.header_timeout_s for item in self._limits_of(since))
        return longest_s + self.margin_s

    def _limits_of(self, since: float) -> list[CallerLimits]:
        former = [
            item.limits
            for item in self._former
            if since <= item.replaced_at + self.bound_s
        ]
        return [self._current, *former]

    def _may_count(self, former: _FormerLimits, now_s: float) -> bool:
        """Returns whether a wait to which former limits apply may still go on."""
        limits = former.limits
        longest_s = limits.idle_timeout_s + limits.header_timeout_s + self.margin_s
        return now_s <= former.replaced_at + self.bound_s + longest_s


def _covers(limits: CallerLimits, other: CallerLimits) -> bool:
    """Returns whether neither of the times of some limits is shorter than another's."""
    return (
        limits.idle_timeout_s >= other.idle_timeout_s
        and limits.header_timeout_s >= other.header_timeout_s
    )
