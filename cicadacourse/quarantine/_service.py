"""Stops requests that crash endpoints, and prompts with a part that does.

Each instance sees only the crashes under its own requests, so crashes and successes of
what is suspected are evidence that all instances share. Suspected requests are sent as
trials, by permits of a rate that all instances share.
"""

from __future__ import annotations

import asyncio

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.errors import Error
from cicadacourse.events import ENDPOINT_ENDED
from cicadacourse.evidence import Evidence, Fact
from cicadacourse.exchange import EndpointClient, ResponseHead
from cicadacourse.limits import Permits
from cicadacourse.logs import PART_BLAMED, REQUEST_BLAMED, log
from cicadacourse.metrics import declare
from cicadacourse.quarantine._ended import EndedNews, EndedProcesses, crash_id
from cicadacourse.quarantine._keys import RequestKeys, is_request_key
from cicadacourse.quarantine._ledger import (
    PART_CRASH,
    PART_SUCCESS,
    REQUEST_CRASH,
    REQUEST_SUCCESS,
    Ledger,
)
from cicadacourse.quarantine._outcomes import (
    log_changes,
    proves_sound,
    suspected_error,
)
from cicadacourse.quarantine._verdicts import (
    BEGUN_WEIGHT,
    REQUEST_WEIGHT,
    WAITING_WEIGHT,
    Verdict,
    choose_blamed,
    judge,
)
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

SUSPECTED_PARTS = declare(
    "suspected_parts", "Parts of prompts that are suspected of crashing endpoints."
)
SUSPECTED_REQUESTS = declare(
    "suspected_requests", "Whole requests that are suspected of crashing endpoints."
)

# How long a request waits after a start or a pause for the others' evidence.
MAX_SYNC_WAIT_S = 0.5
# The same for a request without shared parts while no other instance is known: one that
# has just started learns of the others within this time.
MAX_ALONE_WAIT_S = 0.02
# For this long, verdicts are not renewed though facts may have expired.
VERDICT_LIFETIME_S = 1.0
# How long a request waits for the outcome of another one's trial at most, in seconds
# and as a share of the time left to it.
MAX_TRIAL_WAIT_S = 1.0
TRIAL_WAIT_SHARE = 0.25
# The shortest time until it asks for a permit again.
MIN_RETRY_S = 0.01
# How long after a crash under a request all others that waited at it are known here.
OTHERS_BLAMED_S = 0.05
# How long the next attempt of a request waits until it is known whether the last one's
# endpoint has ended. The tries go on after that.
MAX_CHECK_WAIT_S = 0.1


@SERVICES.register("quarantine")
class Quarantine(Service):
    """Knows what is suspected of crashes, and lets few requests with it pass."""

    name = "quarantine"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._evidence: Evidence = app.get("evidence")
        self._permits: Permits = app.get("permits")
        self._parts = Ledger(self._evidence, PART_CRASH, PART_SUCCESS)
        self._requests = Ledger(self._evidence, REQUEST_CRASH, REQUEST_SUCCESS)
        self._ended: EndedProcesses | None = None
        self._news = EndedNews(app)
        self._tasks = Tasks(app.metrics, "quarantine")
        self._verdict_by_key: dict[str, Verdict] = {}
        self._verdicts_changed = asyncio.Event()
        self._judged_at = float("-inf")
        self._is_outdated = False
        for ledger in (self._parts, self._requests):
            self._subscribe(ledger)

    async def find_refusal(self, keys: RequestKeys, time_left_s: float) -> Error | None:
        """Returns None if a request may be sent now, else the error to respond with.

        Waits for a short time for the outcome of another request's trial, if that is
        likely to decide.
        """
        if not self._evidence.is_synced:
            await self._wait_for_evidence(keys)
        wait_until = now() + min(MAX_TRIAL_WAIT_S, TRIAL_WAIT_SHARE * time_left_s)
        while True:
            verdicts_changed = self._verdicts_changed
            key, delay_s = await self._try_pass(keys)
            if key is None:
                return None
            left_s = wait_until - now()
            verdict = self._verdicts().get(key)
            if verdict is not None and verdict.turn is None:
                # A rival may be blamed as well.
                left_s = self._requests.blamed_at(key) + OTHERS_BLAMED_S - now()
            if left_s <= 0:
                return suspected_error(key, delay_s)
            try:
                async with asyncio.timeout(max(MIN_RETRY_S, min(left_s, delay_s))):
                    await verdicts_changed.wait()
            except TimeoutError:
                pass

    def is_suspected(self, key: str) -> bool:
        """Returns whether requests with a key are sent as trials only."""
        return key in self._verdicts()

    def record_response(self, keys: RequestKeys, head: ResponseHead) -> None:
        """Records that an endpoint has responded to a request to the end."""
        if head.is_success:
            self._parts.record_success(keys.parts)
        if proves_sound(head):
            self._requests.record_success(keys.request)

    def record_first_event(self, keys: RequestKeys) -> None:
        """Records that an endpoint has begun to run a stream and lives."""
        self._requests.record_success(keys.request)

    async def check_crash(
        self,
        client: EndpointClient,
        endpoint: Endpoint,
        keys: RequestKeys,
        has_begun: bool,
    ) -> None:
        """Blames a request without an event if its endpoint has ended under it.

        Returns after a short time even if that is not known yet. If the caller leaves
        meanwhile, the request is blamed nevertheless.

        :param has_begun: whether the response had begun.
        """
        if self._ended is None:
            self._ended = EndedProcesses(client)
        check = self._check(self._ended, endpoint, keys, has_begun)
        task = self._tasks.start(check, "check")
        await asyncio.wait({task}, timeout=MAX_CHECK_WAIT_S)

    def record_crash(
        self, endpoint: Endpoint, keys: RequestKeys, has_begun: bool
    ) -> None:
        """Records that an endpoint has crashed under a request without an event.

        :param has_begun: whether the response had begun.
        """
        id = crash_id(endpoint)
        keys.turn = None
        if keys.parts:
            records = [self._parts.record_of(part) for part in keys.parts]
            blamed = choose_blamed(records, has_begun)
            log(PART_BLAMED, endpoint=endpoint.id, parts=blamed, has_begun=has_begun)
            weight = BEGUN_WEIGHT if has_begun else WAITING_WEIGHT
            self._parts.record_crash(blamed, weight, id)
        if keys.request:
            log(
                REQUEST_BLAMED,
                endpoint=endpoint.id,
                digest=keys.digest,
                has_begun=has_begun,
            )
            self._requests.record_crash(keys.request, REQUEST_WEIGHT, id)

    async def _wait_for_evidence(self, keys: RequestKeys) -> None:
        if not keys.parts:
            await self._evidence.wait_until_synced(MAX_ALONE_WAIT_S)
        if keys.parts or len(self.app.get("membership").members()) > 1:
            await self._evidence.wait_until_synced(MAX_SYNC_WAIT_S)

    async def _check(
        self,
        ended: EndedProcesses,
        endpoint: Endpoint,
        keys: RequestKeys,
        has_begun: bool,
    ) -> None:
        if await ended.has_ended(endpoint):
            self.app.events.emit(ENDPOINT_ENDED, endpoint)
            self.record_crash(endpoint, keys, has_begun)

    async def _try_pass(self, keys: RequestKeys) -> tuple[str | None, float]:
        """Returns None if a request may be sent now.

        Otherwise returns the key that prevents it, and after how many seconds the next
        request with it may be sent.
        """
        # A request that a part holds back must not take the turn of another one.
        for key in (*keys.parts, *keys.request):
            verdict = self._verdicts().get(key)
            if verdict is None or (verdict.turn and verdict.turn == keys.turn):
                continue
            rate = 1.0 / verdict.trial_interval_s
            if verdict.turn is None:
                name = f"{'' if is_request_key(key) else 'part '}{key}"
                permit = await self._permits.acquire(name, rate, max_wait_s=0.0)
            else:
                permit = await self._permits.acquire_turn(f"turn {verdict.turn}", rate)
            if not permit.is_granted:
                return key, permit.wait_s
            keys.turn = verdict.turn or keys.turn
        return None, 0.0

    def _verdicts(self) -> dict[str, Verdict]:
        if self._is_outdated or now() - self._judged_at > VERDICT_LIFETIME_S:
            self._judge()
        return self._verdict_by_key

    def _judge(self) -> None:
        """Renews the verdicts and logs those that changed."""
        self._judged_at = now()
        self._is_outdated = False
        former = self._verdict_by_key
        current = judge(self._parts.records(), self._requests.records())
        self._verdict_by_key = current
        if current == former:
            return
        self._verdicts_changed.set()
        self._verdicts_changed = asyncio.Event()
        log_changes(former, current)
        request_count = sum(is_request_key(key) for key in current)
        self.app.metrics.set(SUSPECTED_REQUESTS, request_count)
        self.app.metrics.set(SUSPECTED_PARTS, len(current) - request_count)

    def _subscribe(self, ledger: Ledger) -> None:
        def crash_received(fact: Fact, is_own: bool) -> None:
            self._schedule_judgement()
            if not is_own:
                ledger.tell_success_later(fact)
                self._news.receive(fact)

        def success_received(fact: Fact, is_own: bool) -> None:
            self._schedule_judgement()

        self._evidence.subscribe(ledger.crash_kind, crash_received)
        self._evidence.subscribe(ledger.success_kind, success_received)

    def _schedule_judgement(self) -> None:
        """Renews the verdicts once all facts that came together are known."""
        if not self._is_outdated:
            self._is_outdated = True
            asyncio.get_running_loop().call_soon(self._verdicts)
