"""Tells the other instances what is in progress here, and hears theirs.

Reports travel as datagrams and hold everything, so that a lost one is mended by the
next; nothing waits for them.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import AsyncIterator, Iterator

import attrs

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService
from cicadacourse.config import InstanceSettings
from cicadacourse.events import (
    CATALOG_VERSION_RECEIVED,
    LOAD_CHANGED,
    MEMBER_LEFT,
    REGISTRY_OFFSET_RECEIVED,
)
from cicadacourse.load._book import LoadTable
from cicadacourse.load._codec import encode_report
from cicadacourse.load._datagram import Datagram, hash_of
from cicadacourse.load._inbox import Inbox
from cicadacourse.load._messages import LoadReport
from cicadacourse.load._model import Assignment
from cicadacourse.load._reports import MAX_AGE_MS, to_ms, to_report
from cicadacourse.load._settings import (
    OWN_RUNS,
    REPORTS_REFUSED,
    REPORTS_SENT,
    LoadSettings,
)
from cicadacourse.load._spread import choose_receivers
from cicadacourse.logs import REPORT_REFUSED, log
from cicadacourse.membership import Member
from cicadacourse.peers import MalformedMessage
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import MS_PER_S, now

# Silent instances are looked for this often.
EXPIRY_PERIOD_S = 0.5


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, share: LoadService) -> None:
        self._share = share

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._share.hear(data, addr)

    def error_received(self, error: Exception) -> None:
        # A peer that is down answers datagrams with errors; membership finds out.
        return


@SERVICES.register("load")
class LoadService(Service):
    """Keeps the book of runs and shares it."""

    name = "load"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._book = LoadTable()
        self._settings = app.settings.get(LoadSettings)
        self._instance = app.settings.get(InstanceSettings)
        self._started_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._inbox = Inbox(
            self._book, self._instance.name, self._settings.expiry_s, self._note_refused
        )
        self._next_expiry = 0.0
        self._own_hash = hash_of(self._instance.name)
        self._transport: asyncio.DatagramTransport | None = None
        self._changed = asyncio.Event()
        app.events.connect(MEMBER_LEFT, lambda member: self._forget(member.name))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Sends and receives reports while the instance runs."""
        host, port = split_address(self._instance.peer_address)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(host, port)
        )
        task = asyncio.create_task(self.report_for_ever())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self._transport.close()

    @property
    def table(self) -> LoadTable:
        """All known runs; reports that came since it was last asked for are read."""
        self._inbox.read_all()
        return self._book

    @contextlib.contextmanager
    def track(self, *runs: Assignment) -> Iterator[None]:
        """Notes runs as in progress while it is open."""
        numbers = [self._book.add(run) for run in runs]
        self.notify_change()
        try:
            yield
        finally:
            for number in numbers:
                self._book.remove(number)
            self.notify_change()

    def notify_change(self, notify_peers: bool = True) -> None:
        """Tells waiting requests that the load changed, and the other instances.

        :param notify_peers: whether the others need to hear of it at once.
        """
        if notify_peers:
            self._changed.set()
        self.app.metrics.set(OWN_RUNS, len(self._book.own_assignments()))
        self.app.events.emit(LOAD_CHANGED)

    def hear(self, data: bytes, source: object) -> None:
        """Takes one datagram; a malformed, old or repeated one changes nothing."""
        try:
            datagram = Datagram.unpack(data)
            sender = self._inbox.take(datagram, now())
        except MalformedMessage as error:
            self._note_refused(str(source), error)
            return
        if sender is None:
            return
        self._tell_freshness(sender, datagram)
        self.app.events.emit(LOAD_CHANGED)
        if datagram.is_relayed:
            self._pass_on(datagram)

    def _tell_freshness(self, sender: str, datagram: Datagram) -> None:
        """Tells other parts how fresh a sender's tables are."""
        events = self.app.events
        events.emit(CATALOG_VERSION_RECEIVED, sender, datagram.catalog_version)
        age_s = datagram.store_age_ms / MS_PER_S
        events.emit(REGISTRY_OFFSET_RECEIVED, sender, datagram.registry_offset, age_s)

    def _note_refused(self, source: str, error: Exception) -> None:
        self.app.metrics.count(REPORTS_REFUSED)
        log(REPORT_REFUSED, source=source, reason=str(error))

    def _pass_on(self, datagram: Datagram) -> None:
        """Sends another's report to the instances of the own failure domain."""
        body = attrs.evolve(datagram, is_relayed=False).pack()
        own_domain = self._instance.failure_domain
        for member in self._others():
            if member.failure_domain == own_domain:
                self._send(body, member)

    async def report_for_ever(self) -> None:
        """Tells the others of each change soon, and of everything now and then."""
        while True:
            has_runs = bool(self._book.own_assignments())
            settings = self._settings
            period_s = settings.busy_period_s if has_runs else settings.idle_period_s
            period_s *= self._period_factor()
            try:
                async with asyncio.timeout(period_s):
                    await self._changed.wait()
                await asyncio.sleep(settings.coalesce_s)
            except TimeoutError:
                pass
            self._expire()
            self._changed.clear()
            self._report()

    def _period_factor(self) -> float:
        """Repeats are rarer in a large fleet, so that they cost an instance little."""
        return max(1.0, len(self._others()) / self._settings.repeats_full_rate_up_to)

    def _report(self) -> None:
        others = self._others()
        if not others or self._transport is None:
            return
        datagram = self.make_datagram()
        own = self.app.get("membership").self_member()
        receivers = choose_receivers(own, others, datagram.sequence)
        for member in receivers.direct:
            self._send(datagram.pack(), member)
        relayed = attrs.evolve(datagram, is_relayed=True).pack()
        for member in receivers.relays:
            self._send(relayed, member)

    def _others(self) -> list[Member]:
        members = self.app.get("membership").members()
        return [item for item in members if item.name != self._instance.name]

    def _send(self, data: bytes, member: Member) -> None:
        if self._transport is None:
            return
        host, port = split_address(member.peer_address)
        self._transport.sendto(data, (host, port))
        self.app.metrics.count(REPORTS_SENT)

    def make_datagram(self) -> Datagram:
        """Returns a report of all that is in progress here now."""
        keeper: CatalogService = self.app.get("catalog")
        at = now()
        runs = tuple(to_report(run, at) for run in self._book.own_assignments())
        self._sequence += 1
        return Datagram(
            is_relayed=False,
            sender_hash=self._own_hash,
            started_ms=self._started_ms,
            sequence=self._sequence,
            catalog_version=keeper.catalog.version if keeper.catalog else 0,
            registry_offset=keeper.registry_offset,
            store_age_ms=to_ms(at - keeper.registry_read_at, MAX_AGE_MS),
            body=encode_report(LoadReport(sender=self._instance.name, runs=runs)),
        )

    def _expire(self) -> None:
        """Forgets instances that have been silent for too long."""
        if now() < self._next_expiry:
            return
        self._next_expiry = now() + EXPIRY_PERIOD_S
        expiry_s = self._settings.expiry_s * self._period_factor()
        for name in self._inbox.silent_since(now() - expiry_s):
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._inbox.forget(name)
        self.app.events.emit(LOAD_CHANGED)
