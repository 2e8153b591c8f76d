"""Tells when this instance loses links to endpoints, and when it has them again."""

from __future__ import annotations

from typing import Sequence

import attrs

from cicadacourse.logs import LINKS_LOST, LINKS_RESTORED, log
from cicadacourse.reachability._links import Link
from cicadacourse.util.clock import now

# An instance that has lost this share of its links counts as cut off.
CUT_OFF_SHARE = 0.5
# Bounds the ids in one log line.
MAX_LOGGED = 8


@attrs.define
class LossReport:
    """The last state of the links that was told, so that only changes are.

    :ivar share: the share of the endpoints to which the links are lost.
    :ivar lost_since: loop time in seconds, or None if no link is lost.
    """

    share: float = 0.0
    lost_since: float | None = None
    _most: int = 0

    @property
    def is_cut_off(self) -> bool:
        """Whether the links to at least half of the endpoints are lost."""
        return self.share >= CUT_OFF_SHARE

    def update(self, lost: Sequence[Link], share: float) -> bool:
        """Logs a change, and returns whether it is one that others should know.

        :param lost: the links that are lost now.
        """
        was_cut_off = self.is_cut_off
        self.share = share
        if not lost:
            return self._end()
        is_new = self.lost_since is None
        if is_new:
            self._most = 0
            self.lost_since = min(item.failing_since for item in lost)
        self._most = max(self._most, len(lost))
        if is_new or was_cut_off != self.is_cut_off:
            self._log(lost)
            return True
        return False

    def _end(self) -> bool:
        if self.lost_since is None:
            return False
        lost_for_s = round(now() - self.lost_since, 3)
        log(LINKS_RESTORED, lost_for_s=lost_for_s, most=self._most)
        self.lost_since = None
        return True

    def _log(self, lost: Sequence[Link]) -> None:
        assert self.lost_since is not None
        log(
            LINKS_LOST,
            count=len(lost),
            endpoints=[item.endpoint.id for item in lost[:MAX_LOGGED]],
            share=round(self.share, 3),
            lost_for_s=round(now() - self.lost_since, 3),
        )
