"""Shares observations of single instances with all others.

An instance sees only the responses to its own requests. What it learns from them about
an endpoint or a prompt concerns all instances, so facts travel with load reports.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import Callable

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.events import ATTACHMENT_RECEIVED
from cicadacourse.evidence._book import FactBook
from cicadacourse.evidence._dissemination import REPEAT_TIMES_S, Dissemination
from cicadacourse.evidence._messages import decode_facts, encode_facts
from cicadacourse.evidence._model import Fact
from cicadacourse.logs import FACTS_REFUSED, log
from cicadacourse.metrics import declare
from cicadacourse.peers import MalformedMessage
from cicadacourse.util.clock import now

KNOWN_FACTS = declare(
    "known_facts", "Observations of this instance and of others that count."
)

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
        app.get("load").set_attachment_source(self._make_attachment)
        app.events.connect(ATTACHMENT_RECEIVED, self._receive)

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
        """Records an observation of this instance and tells it to all others.

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

    def remove(self, fact: Fact) -> None:
        """Removes a fact that no longer matters here."""
        self._book.remove(fact)

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
