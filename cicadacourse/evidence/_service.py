"""Shares observations of single instances with the other instances.

An instance sees only the responses to its own requests. What it learns from them about
an endpoint or a prompt concerns all instances, so facts travel with load reports.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from typing import AsyncIterator, Callable

from returns.result import Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.config import InstanceSettings
from cicadacourse.events import ATTACHMENT_RECEIVED, RESUMED_AFTER_PAUSE
from cicadacourse.evidence._book import FactBook
from cicadacourse.evidence._dissemination import REPEAT_TIMES_S, Dissemination
from cicadacourse.evidence._messages import (
    FactReports,
    FetchFacts,
    decode_facts,
    encode_facts,
    to_facts,
    to_reports,
)
from cicadacourse.evidence._model import Fact
from cicadacourse.logs import FACTS_NOT_FETCHED, FACTS_REFUSED, log
from cicadacourse.metrics import declare
from cicadacourse.peers import MalformedMessage, handles
from cicadacourse.tasks import Tasks
from cicadacourse.util.clock import now

KNOWN_FACTS = declare(
    "known_facts", "Observations of this instance and of others that count."
)

# How long an instance tries to fetch the facts of another one after its start.
SYNC_TIMEOUT_S = 1.0
SYNC_RETRY_S = 0.03
FETCH_TIMEOUT_S = 0.2
# Bounds the reply to an instance that has started.
MAX_FETCHED_FACTS = 2000

FactListener = Callable[[Fact, bool], None]


@SERVICES.register("evidence")
class Evidence(Service):
    """Keeps facts and exchanges them with the other instances."""

    name = "evidence"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._book = FactBook()
        self._dissemination = Dissemination()
        self._listeners_by_kind: dict[str, list[FactListener]] = {}
        self._own_name = app.settings.get(InstanceSettings).name
        self._synced = asyncio.Event()
        self._synced.set()
        self._tasks = Tasks(app.metrics, "evidence")
        self._sync_task: asyncio.Task[None] | None = None
        app.get("load").set_attachment_source(self._make_attachment)
        app.events.connect(ATTACHMENT_RECEIVED, self._receive)
        app.events.connect(RESUMED_AFTER_PAUSE, self._start_sync)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Fetches what other instances know, at the start and after each pause."""
        self._start_sync()
        try:
            yield
        finally:
            await self._stop_sync()

    @property
    def is_synced(self) -> bool:
        """Whether no wait for another instance's facts is due."""
        return self._synced.is_set()

    async def wait_until_synced(self, timeout_s: float) -> None:
        """Waits after a start or a pause until another instance has told its facts.

        Returns at once otherwise, and after ``timeout_s`` seconds in any case.
        """
        if self._synced.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._synced.wait()

    def subscribe(self, kind: str, listener: FactListener) -> None:
        """Calls a listener with each new fact of a kind, and whether it is own."""
        self._listeners_by_kind.setdefault(kind, []).append(listener)

    def publish(
        self,
        kind: str,
        key: str,
        value: float = 0.0,
        id: int | None = None,
        observed_at: float | None = None,
    ) -> None:
        """Records an observation of this instance and tells the other instances.

        :param id: the id of the fact if several instances may observe the same one;
            a random one if None.
        :param observed_at: loop time in seconds; now if None.
        """
        if id is None:
            id = secrets.randbits(63)
        if observed_at is None:
            observed_at = now()
        if not self._add(Fact(kind, key, id, value, observed_at), is_own=True):
            return
        loop = asyncio.get_running_loop()
        for delay_s in REPEAT_TIMES_S:
            loop.call_later(delay_s, self.app.get("load").notify_change)

    def find(self, kind: str, key: str) -> list[Fact]:
        """Returns the facts of a key that still count."""
        return self._book.find(kind, key, now())

    def keys(self, kind: str) -> list[str]:
        """Returns the keys of which there are facts of a kind."""
        return self._book.keys(kind)

    @handles(FetchFacts)
    async def on_fetch_facts(self, request: FetchFacts) -> FactReports:
        """Answers with all facts, the latest first up to a bound."""
        now_s = now()
        facts = sorted(self._book.all(now_s), key=lambda item: -item.observed_at)
        return to_reports(facts[:MAX_FETCHED_FACTS], now_s)

    def _start_sync(self) -> None:
        if self._sync_task is None or self._sync_task.done():
            self._synced.clear()
            self._sync_task = self._tasks.start(self._sync(), "sync")

    async def _stop_sync(self) -> None:
        await self._tasks.cancel()

    async def _sync(self) -> None:
        """Fetches the facts of one other instance, or gives up after a time."""
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                while not await self._fetch_from_any():
                    await asyncio.sleep(SYNC_RETRY_S)
        except TimeoutError:
            log(FACTS_NOT_FETCHED)
        finally:
            self._synced.set()

    async def _fetch_from_any(self) -> bool:
        members = self.app.get("membership").members()
        others = [item for item in members if item.name != self._own_name]
        if not others:
            return False
        request = FetchFacts(sender=self._own_name)
        result = await self.app.get("peers").call(
            random.choice(others).peer_address, request, FETCH_TIMEOUT_S
        )
        match result:
            case Success(FactReports() as reports):
                for fact in to_facts(reports, now()):
                    self._add(fact, is_own=False)
                return True
        return False

    def _add(self, fact: Fact, is_own: bool) -> bool:
        if not self._book.add(fact, now()):
            return False
        self._dissemination.add(fact, now())
        for listener in self._listeners_by_kind.get(fact.kind, ()):
            listener(fact, is_own)
        return True

    def _make_attachment(self) -> bytes:
        """Returns the bytes of the facts that go with the next load report."""
        if not self._book:
            return b""
        now_s = now()
        known = self._book.all(now_s)
        self.app.metrics.set(KNOWN_FACTS, len(known))
        return encode_facts(self._dissemination.select(known, now_s), now_s)

    def _receive(self, sender: str, attachment: bytes) -> None:
        try:
            facts = decode_facts(attachment, now())
        except MalformedMessage as error:
            log(FACTS_REFUSED, source=sender, reason=str(error))
            return
        for fact in facts:
            self._add(fact, is_own=False)
