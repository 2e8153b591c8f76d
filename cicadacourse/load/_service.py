"""Reports this instance's assignments to the others, and receives theirs.

A report is a datagram with all assignments of its sender, so the next report makes up
for a lost one. Nothing waits for a report, but for the choice of engines for a long
prompt: its report is urgent, and others may come some milliseconds later in a batch.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import AsyncIterator, Callable, Iterator

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService
from cicadacourse.config import InstanceSettings
from cicadacourse.events import (
    ATTACHMENT_RECEIVED,
    LOAD_CHANGED,
    MEMBER_LEFT,
)
from cicadacourse.load._batch import is_batch, unpack_batch
from cicadacourse.load._codec import encode_report
from cicadacourse.load._datagram import UNKNOWN_AGE_MS, Datagram, Relaying, hash_of
from cicadacourse.load._freshness import FreshnessPublisher
from cicadacourse.load._inbox import Inbox
from cicadacourse.load._messages import LoadReport
from cicadacourse.load._model import Assignment
from cicadacourse.load._reports import MAX_UINT32_MS, to_ms, to_report
from cicadacourse.load._sender import ReportSender
from cicadacourse.load._settings import OWN_ASSIGNMENTS, REPORTS_REFUSED, LoadSettings
from cicadacourse.load._table import LoadTable
from cicadacourse.logs import REPORT_REFUSED, log
from cicadacourse.peers import MalformedMessage
from cicadacourse.tasks import Tasks
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import MS_PER_S, now

# Assignments of instances that sent no report for too long are removed at most this
# often.
EXPIRY_PERIOD_S = 0.5


class _ReportProtocol(asyncio.DatagramProtocol):
    def __init__(self, service: LoadService) -> None:
        self._service = service

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._service.receive(data, addr)

    def error_received(self, error: Exception) -> None:
        # Datagrams to an instance that is down come back as errors; membership detects
        # the failure.
        return


@SERVICES.register("load")
class LoadService(Service):
    """Keeps the load table and exchanges load reports with the other instances."""

    name = "load"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._table = LoadTable()
        self._settings = app.settings.get(LoadSettings)
        self._instance = app.settings.get(InstanceSettings)
        self._started_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._inbox = Inbox(
            self._table,
            self._instance.name,
            self._settings.expiry_s,
            self._record_malformed,
        )
        self._next_expiry_s = 0.0
        self._own_hash = hash_of(self._instance.name)
        self._unreported_change = asyncio.Event()
        self._is_urgent = False
        self._freshness = FreshnessPublisher(app)
        self._sender = ReportSender(app)
        self._attachment_source: Callable[[], bytes] = bytes
        app.events.connect(MEMBER_LEFT, lambda member: self._forget(member.name))

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Sends and receives reports while the instance runs."""
        host, port = split_address(self._instance.peer_address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ReportProtocol(self), local_addr=(host, port)
        )
        self._sender.open(transport)
        tasks = Tasks(self.app.metrics, "load")
        tasks.keep("report", self.report_periodically)
        try:
            yield
        finally:
            await tasks.cancel()
            self._sender.close()

    @property
    def table(self) -> LoadTable:
        """All known assignments; reports received since its last use are decoded."""
        self._inbox.decode_pending()
        return self._table

    @contextlib.contextmanager
    def track(
        self, *assignments: Assignment, is_urgent: bool = False
    ) -> Iterator[None]:
        """Keeps assignments in the load table while the context is open.

        :param is_urgent: see :meth:`notify_change`.
        """
        numbers = [self._table.add(assignment) for assignment in assignments]
        self.notify_change(is_urgent=is_urgent)
        try:
            yield
        finally:
            for number in numbers:
                self._table.remove(number)
            self.notify_change()

    def notify_change(self, notify_peers: bool = True, is_urgent: bool = False) -> None:
        """Announces a change of the load to queued requests and the other instances.

        :param notify_peers: whether a report is sent soon, not only with the next
            period.
        :param is_urgent: whether the others wait for it, so that it goes to them
            without a batch.
        """
        self._is_urgent = self._is_urgent or is_urgent
        if notify_peers:
            self._unreported_change.set()
        self.app.metrics.set(OWN_ASSIGNMENTS, len(self._table.own_assignments()))
        self.app.events.emit(LOAD_CHANGED)

    def set_attachment_source(self, source: Callable[[], bytes]) -> None:
        """Sets the function whose bytes go with each report, unless they are empty.

        Receivers emit them as ``ATTACHMENT_RECEIVED``.
        """
        self._attachment_source = source

    def receive(self, data: bytes, source: object) -> None:
        """Processes one datagram; a malformed, old or duplicate one changes nothing."""
        try:
            reports = unpack_batch(data) if is_batch(data) else [data]
        except MalformedMessage as error:
            self._record_malformed(str(source), error)
            return
        # All of a batch are processed.
        if any([self._receive_report(item, source) for item in reports]):
            self.app.events.emit(LOAD_CHANGED)

    def _receive_report(self, data: bytes, source: object) -> bool:
        """Processes one report; returns whether it was new."""
        try:
            datagram = Datagram.unpack(data)
            sender = self._inbox.accept(datagram, now())
        except MalformedMessage as error:
            self._record_malformed(str(source), error)
            return False
        if sender is None:
            return False
        self._sender.note_capacity(sender, datagram.capacity)
        self._freshness.publish(sender, datagram, self._own_version())
        if datagram.attachment:
            self.app.events.emit(ATTACHMENT_RECEIVED, sender, datagram.attachment)
        self._sender.relay(datagram)
        return True

    def _record_malformed(self, source: str, error: Exception) -> None:
        self.app.metrics.count(REPORTS_REFUSED)
        log(REPORT_REFUSED, source=source, reason=str(error))

    async def report_periodically(self) -> None:
        """Sends a report soon after each change, and at least once per period."""
        while True:
            is_busy = bool(self._table.own_assignments())
            settings = self._settings
            period_s = settings.busy_period_s if is_busy else settings.idle_period_s
            period_s *= self._period_factor()
            try:
                async with asyncio.timeout(period_s):
                    await self._unreported_change.wait()
                await asyncio.sleep(settings.coalesce_s)
            except TimeoutError:
                pass
            self._remove_expired()
            self._unreported_change.clear()
            if self._sender.other_members():
                self._sender.send(self.make_datagram(), self._is_urgent)
                self._is_urgent = False

    def _period_factor(self) -> float:
        """Returns the factor by which periods and expiry are longer in a large fleet.

        It bounds what periodic reports cost each instance.
        """
        return max(
            1.0,
            len(self._sender.other_members()) / self._settings.repeats_full_rate_up_to,
        )

    def make_datagram(self) -> Datagram:
        """Returns a new report of all assignments of this instance."""
        catalog_service: CatalogService = self.app.get("catalog")
        now_s = now()
        assignments = tuple(
            to_report(item, now_s) for item in self._table.own_assignments()
        )
        self._sequence += 1
        return Datagram(
            relaying=Relaying.NO,
            sender_hash=self._own_hash,
            started_ms=self._started_ms,
            sequence=self._sequence,
            catalog_version=self._own_version(),
            registry_offset=catalog_service.registry_offset,
            store_age_ms=to_ms(now_s - catalog_service.registry_read_at, MAX_UINT32_MS),
            body=encode_report(
                LoadReport(sender=self._instance.name, runs=assignments)
            ),
            configuration_age_ms=to_ms(
                now_s - catalog_service.freshness.read_at, UNKNOWN_AGE_MS
            ),
            attachment=self._attachment_source(),
            capacity=self._settings.capacity,
        )

    def _own_version(self) -> int:
        """Returns the version of the configuration in force, 0 if there is none."""
        catalog = self.app.get("catalog").catalog
        return catalog.version if catalog else 0

    def _remove_expired(self) -> None:
        """Removes the assignments of instances that sent no report for too long."""
        if now() < self._next_expiry_s:
            return
        self._next_expiry_s = now() + EXPIRY_PERIOD_S
        expiry_s = self._settings.expiry_s * self._period_factor()
        for name in self._inbox.stale_senders(now() - expiry_s):
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._inbox.forget(name)
        self._freshness.forget(name)
        self._sender.forget(name)
        self.app.events.emit(LOAD_CHANGED)
