"""Which of an engine's sessions are orphaned."""

from __future__ import annotations

import enum
from collections import defaultdict
from typing import Sequence

from returns.result import Success

from cicadacourse.application import Application
from cicadacourse.endpoints import EngineSession
from cicadacourse.membership import MemberState
from cicadacourse.sessions._messages import HoldQuery, HoldReply
from cicadacourse.sessions._settings import SessionsSettings
from cicadacourse.util.clock import now


class Orphaned(enum.Enum):
    """Why a session is released; the value is the metrics' label."""

    OVERDUE = "overdue"
    OWNER_GONE = "owner_gone"
    NOT_HELD = "not_held"


class OrphanJudge:
    """Judges sessions by their time limits and by their owners' word.

    A view of membership alone never condemns a session at once: an owner that can be
    reached is asked, one that is dead must have been so for a while, and one that
    membership never heard of keeps its sessions until they are overdue.
    """

    def __init__(self, app: Application) -> None:
        self.app = app
        self._settings = app.settings.get(SessionsSettings)
        self._gone_since_by_owner: dict[str, float] = {}

    async def judge(self, sessions: Sequence[EngineSession]) -> dict[str, Orphaned]:
        """Returns the orphaned ones of an engine's sessions, with the reason."""
        orphaned: dict[str, Orphaned] = {}
        names_by_owner: dict[str, list[str]] = defaultdict(list)
        for row in sessions:
            if row.age_s > row.time_limit_s + self._settings.overdue_s:
                orphaned[row.session] = Orphaned.OVERDUE
            else:
                names_by_owner[row.owner].append(row.session)
        for owner, names in names_by_owner.items():
            orphaned.update(await self._judge_owner(owner, names))
        return orphaned

    async def _judge_owner(self, owner: str, names: list[str]) -> dict[str, Orphaned]:
        member = self.app.get("membership").find(owner)
        if member is None:
            # Never heard of is not dead: its time limits free what it holds.
            self._gone_since_by_owner.pop(owner, None)
            return {}
        if member.state is MemberState.DEAD:
            gone = self._is_gone_for_long(owner)
            return dict.fromkeys(names, Orphaned.OWNER_GONE) if gone else {}
        self._gone_since_by_owner.pop(owner, None)
        query = HoldQuery(sessions=tuple(names))
        timeout_s = self._settings.timeout_s
        match await self.app.get("peers").call(member.peer_address, query, timeout_s):
            case Success(HoldReply(held=held)):
                not_held = set(names).difference(held)
                return dict.fromkeys(sorted(not_held), Orphaned.NOT_HELD)
            case _:
                return {}

    def _is_gone_for_long(self, owner: str) -> bool:
        gone_since = self._gone_since_by_owner.setdefault(owner, now())
        return now() - gone_since >= self._settings.owner_gone_s
