"""Sends load reports to the instances that receive them, and relays those of others."""

from __future__ import annotations

import asyncio
from typing import Sequence

import attrs

from cicadacourse.application import Application
from cicadacourse.config import InstanceSettings
from cicadacourse.load._batch_relay import BatchRelay
from cicadacourse.load._datagram import Datagram, Relaying
from cicadacourse.load._receivers import (
    Receivers,
    choose_batching_receivers,
    choose_receivers,
)
from cicadacourse.load._settings import BATCHES_SENT, REPORTS_SENT, LoadSettings
from cicadacourse.membership import Member
from cicadacourse.util.addresses import split_address


class ReportSender:
    """Sends packed reports through a transport, once that is set."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._settings = app.settings.get(LoadSettings)
        self._instance = app.settings.get(InstanceSettings)
        self._capacity_by_name: dict[str, int] = {}
        self._batch_relay = BatchRelay(self._settings.batch_s, self._send_batch)
        self._transport: asyncio.DatagramTransport | None = None

    def open(self, transport: asyncio.DatagramTransport) -> None:
        """Sends through a transport from now on."""
        self._transport = transport

    def close(self) -> None:
        """Sends what is collected, and closes the transport."""
        self._batch_relay.flush()
        if self._transport is not None:
            self._transport.close()

    def note_capacity(self, name: str, capacity: int) -> None:
        """Records how much an instance can relay; 0 is that of an earlier release."""
        if capacity:
            self._capacity_by_name[name] = capacity

    def forget(self, name: str) -> None:
        """Forgets an instance that has left."""
        self._capacity_by_name.pop(name, None)

    def other_members(self) -> list[Member]:
        """Returns the members without this instance."""
        members = self._app.get("membership").members()
        return [item for item in members if item.name != self._instance.name]

    def send(self, datagram: Datagram, is_urgent: bool) -> None:
        """Sends a report of this instance.

        :param is_urgent: whether the others wait for it, so that no relay collects it
            in a batch.
        """
        others = self.other_members()
        if not others or self._transport is None:
            return
        receivers = self._choose_receivers(others, datagram.sequence, is_urgent)
        report = datagram.pack()
        self._send_datagrams(report, receivers.direct)
        at_once = attrs.evolve(datagram, relaying=Relaying.AT_ONCE).pack()
        self._send_datagrams(at_once, receivers.relays)
        own_name = self._instance.name
        relays = [item for item in receivers.batching if item.name != own_name]
        in_batch = attrs.evolve(datagram, relaying=Relaying.IN_BATCH).pack()
        self._send_datagrams(in_batch, relays)
        if len(relays) < len(receivers.batching):
            self._batch_relay.add(report)

    def relay(self, datagram: Datagram) -> None:
        """Relays a received report within the own failure domain, if that is asked."""
        if datagram.relaying is Relaying.NO:
            return
        report = attrs.evolve(datagram, relaying=Relaying.NO).pack()
        if datagram.relaying is Relaying.IN_BATCH:
            self._batch_relay.add(report)
        else:
            self._send_datagrams(report, self._neighbours())

    def _choose_receivers(
        self, others: list[Member], sequence: int, is_urgent: bool
    ) -> Receivers:
        own_member = self._app.get("membership").self_member()
        if is_urgent or not self._settings.batched_from:
            return choose_receivers(own_member, others, sequence)
        own_capacity = {self._instance.name: self._settings.capacity}
        return choose_batching_receivers(
            own_member,
            [own_member, *others],
            sequence,
            self._capacity_by_name | own_capacity,
            self._settings.batched_from,
        )

    def _send_batch(self, batch: bytes, reports: Sequence[bytes]) -> None:
        """Sends collected reports to the instances of the own failure domain.

        Those of earlier releases get them one by one.
        """
        known = self._capacity_by_name
        neighbours = self._neighbours()
        able = [item for item in neighbours if item.name in known]
        others = [item for item in neighbours if item.name not in known]
        self._send_datagrams(batch, able)
        self._app.metrics.count(BATCHES_SENT, len(able))
        for report in reports:
            self._send_datagrams(report, others)

    def _neighbours(self) -> list[Member]:
        own_domain = self._instance.failure_domain
        return [
            item for item in self.other_members() if item.failure_domain == own_domain
        ]

    def _send_datagrams(self, data: bytes, members: Sequence[Member]) -> None:
        if self._transport is None or not members:
            return
        for member in members:
            self._transport.sendto(data, split_address(member.peer_address))
        self._app.metrics.count(REPORTS_SENT, len(members))
