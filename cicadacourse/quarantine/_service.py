"""Stops requests whose prompts have a part that crashes engines.

Each instance sees only the crashes under its own requests, so crashes and successes of
suspected parts are evidence that all instances share. Requests with a suspected part
are sent as trials, by permits of a rate that all instances share.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from typing import Sequence

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.evidence import FACT_KINDS, Evidence, Fact, FactKind
from cicadacourse.limits import Permits
from cicadacourse.logs import PART_BLAMED, PART_CLEARED, PART_SUSPECTED, log
from cicadacourse.metrics import declare
from cicadacourse.quarantine._verdicts import (
    BEGUN_WEIGHT,
    WAITING_WEIGHT,
    PartCrash,
    PartRecord,
    Verdict,
    choose_blamed,
    judge,
)
from cicadacourse.util import hashing
from cicadacourse.util.clock import now

SUSPECTED_PARTS = declare(
    "suspected_parts", "Parts of prompts that are suspected of crashing endpoints."
)

PART_CRASH = "part-crash"
PART_SUCCESS = "part-success"
# Longer than the longest interval between trials, so that a part that still crashes
# engines is not forgotten in between.
LIFETIME_S = 600.0
FACT_KINDS.register(PART_CRASH)(FactKind(LIFETIME_S, 1000, is_latest_only=False))
FACT_KINDS.register(PART_SUCCESS)(FactKind(LIFETIME_S, 1000, is_latest_only=True))
# Bounds the memory of parts that were in successful requests of this instance.
MAX_SOUND_PARTS = 10_000
# Instances that know of a success tell it after a random time up to this, and only if
# no other one did before.
MAX_VINDICATION_DELAY_S = 0.05
# Successes that are known to be this recent are not told again.
SUCCESS_NEWS_S = 1.0
# How long a request waits after a start or a pause for the others' evidence.
MAX_SYNC_WAIT_S = 0.5
# For this long, verdicts are not renewed though facts may have expired.
VERDICT_LIFETIME_S = 1.0


@SERVICES.register("quarantine")
class Quarantine(Service):
    """Knows the suspected parts of prompts, and lets few requests with them pass."""

    name = "quarantine"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._evidence: Evidence = app.get("evidence")
        self._permits: Permits = app.get("permits")
        self._succeeded_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._verdict_by_part: dict[str, Verdict] = {}
        self._judged_at = float("-inf")
        self._is_outdated = False
        self._evidence.subscribe(PART_CRASH, self._crash_received)
        self._evidence.subscribe(PART_SUCCESS, self._success_received)

    async def delay_s(self, parts: Sequence[str]) -> float:
        """Returns 0 if a request with these shared parts may be sent now.

        Otherwise returns after how many seconds the next one may be sent.
        """
        if not parts:
            return 0.0
        await self._evidence.wait_until_synced(MAX_SYNC_WAIT_S)
        verdict_by_part = self._verdicts()
        for part in parts:
            verdict = verdict_by_part.get(part)
            if verdict is None:
                continue
            rate = 1.0 / verdict.trial_interval_s
            permit = await self._permits.acquire(f"part {part}", rate, max_wait_s=0.0)
            if not permit.is_granted:
                return permit.wait_s
        return 0.0

    def is_suspected(self, part: str) -> bool:
        """Returns whether requests with a part are sent as trials only."""
        return part in self._verdicts()

    def record_success(self, parts: Sequence[str]) -> None:
        """Records that a request with these shared parts has succeeded."""
        for part in parts:
            self._succeeded_at_by_part[part] = now()
            self._succeeded_at_by_part.move_to_end(part)
            if self._evidence.find(PART_CRASH, part):
                self._tell_success(part)
        while len(self._succeeded_at_by_part) > MAX_SOUND_PARTS:
            self._succeeded_at_by_part.popitem(last=False)

    def record_crash(
        self, endpoint: Endpoint, parts: Sequence[str], has_begun: bool
    ) -> None:
        """Records that an endpoint has crashed under a request without an event.

        :param parts: the shared parts of its prompt.
        :param has_begun: whether the response had begun.
        """
        records = [self._record_of(part) for part in parts]
        blamed = choose_blamed(records, has_begun)
        log(PART_BLAMED, endpoint=endpoint.id, parts=blamed, has_begun=has_begun)
        crash_id = hashing.score(str(endpoint.started_ms), endpoint.id) >> 1
        weight = BEGUN_WEIGHT if has_begun else WAITING_WEIGHT
        for part in blamed:
            self._evidence.publish(PART_CRASH, part, weight, crash_id)

    def _record_of(self, part: str) -> PartRecord:
        crashes = self._evidence.find(PART_CRASH, part)
        return PartRecord(
            part,
            tuple(PartCrash(item.id, item.value, item.observed_at) for item in crashes),
            self._succeeded_at(part),
        )

    def _succeeded_at(self, part: str) -> float | None:
        """Returns when a request with a part last succeeded at any instance."""
        facts = self._evidence.find(PART_SUCCESS, part)
        times = [item.observed_at for item in facts]
        own = self._succeeded_at_by_part.get(part)
        if own is not None and now() - own < LIFETIME_S:
            times.append(own)
        return max(times, default=None)

    def _verdicts(self) -> dict[str, Verdict]:
        if self._is_outdated or now() - self._judged_at > VERDICT_LIFETIME_S:
            self._judge()
        return self._verdict_by_part

    def _judge(self) -> None:
        """Renews the verdicts and logs those that changed."""
        self._judged_at = now()
        self._is_outdated = False
        former = self._verdict_by_part
        parts = self._evidence.keys(PART_CRASH)
        current = judge([self._record_of(part) for part in parts]) if parts else {}
        self._verdict_by_part = current
        if current == former:
            return
        for part in former.keys() - current.keys():
            log(PART_CLEARED, prompt_part=part)
        for part, verdict in current.items():
            if former.get(part) != verdict:
                log(
                    PART_SUSPECTED,
                    prompt_part=part,
                    weight=verdict.weight,
                    interval_s=verdict.trial_interval_s,
                )
        self.app.metrics.set(SUSPECTED_PARTS, len(current))

    def _schedule_judgement(self) -> None:
        """Renews the verdicts once all facts that came together are known."""
        if not self._is_outdated:
            self._is_outdated = True
            asyncio.get_running_loop().call_soon(self._verdicts)

    def _crash_received(self, fact: Fact, is_own: bool) -> None:
        self._schedule_judgement()
        if not is_own and fact.key in self._succeeded_at_by_part:
            delay_s = random.uniform(0.0, MAX_VINDICATION_DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._tell_success, fact.key)

    def _success_received(self, fact: Fact, is_own: bool) -> None:
        self._schedule_judgement()

    def _tell_success(self, part: str) -> None:
        """Tells the others of a part's last success here, unless one is known already.

        A success that is later than a crash clears the part; an earlier one makes it
        less suspect.
        """
        succeeded_at = self._succeeded_at_by_part.get(part)
        if succeeded_at is None or now() - succeeded_at >= LIFETIME_S:
            return
        known = [item.observed_at for item in self._evidence.find(PART_SUCCESS, part)]
        crashed = [item.observed_at for item in self._evidence.find(PART_CRASH, part)]
        latest = max(known, default=float("-inf"))
        is_clearing = any(latest < at < succeeded_at for at in crashed)
        if is_clearing or succeeded_at > latest + SUCCESS_NEWS_S:
            self._evidence.publish(PART_SUCCESS, part, observed_at=succeeded_at)
