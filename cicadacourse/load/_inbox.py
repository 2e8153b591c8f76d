"""The newest report of each other instance, decoded only when the load is asked for."""

from __future__ import annotations

from typing import Callable

import attrs

from cicadacourse.load._codec import decode_report
from cicadacourse.load._datagram import Datagram, hash_of
from cicadacourse.load._reports import to_assignment
from cicadacourse.load._table import LoadTable
from cicadacourse.peers import MalformedMessage

# A process takes longer than this to restart, and a datagram takes less to arrive.
MIN_RESTART_S = 0.3


@attrs.define
class _Sender:
    """The newest report of one instance.

    :ivar name: name of the instance.
    :ivar previous_start_ms: start of the instance's process before that, Unix
        milliseconds, 0 if unknown.
    :ivar started_ms: start of the process that sent the report, Unix milliseconds.
    :ivar sequence: number of the report among those of that process.
    :ivar received_at_s: loop time at which the report arrived, in seconds.
    :ivar body: the encoded report until it is decoded, then None.
    """

    name: str
    previous_start_ms: int = 0
    started_ms: int = 0
    sequence: int = 0
    received_at_s: float = 0.0
    body: bytes | None = None


class Inbox:
    """Keeps the newest report of each sender and decodes it on demand.

    :param table: receives the assignments of the reports.
    :param own_name: name of this instance; its own reports can come back and are
        ignored.
    :param expiry_s: after this many seconds without a report, any report of a sender
        is accepted.
    :param on_malformed: called with the sender's name and the error if the body of a
        report is malformed.
    """

    def __init__(
        self,
        table: LoadTable,
        own_name: str,
        expiry_s: float,
        on_malformed: Callable[[str, Exception], None],
    ) -> None:
        self._table = table
        self._own_hash = hash_of(own_name)
        self._expiry_s = expiry_s
        self._on_malformed = on_malformed
        self._sender_by_hash: dict[int, _Sender] = {}
        self._pending: list[_Sender] = []

    def accept(self, datagram: Datagram, now_s: float) -> str | None:
        """Keeps a report if it is newer than the last one of its sender.

        :param now_s: loop time in seconds.
        :returns: the sender's name, or None if the report is not newer.
        :raises MalformedMessage: if the first report of a sender can't be decoded.
        """
        if not self._is_newer(datagram, now_s):
            return None
        sender = self._sender_of(datagram)
        if sender.body is None:
            self._pending.append(sender)
        sender.body = datagram.body
        if sender.started_ms != datagram.started_ms:
            sender.previous_start_ms = sender.started_ms
        sender.started_ms = datagram.started_ms
        sender.sequence = datagram.sequence
        sender.received_at_s = now_s
        return sender.name

    def decode_pending(self) -> None:
        """Decodes the reports that are not yet in the load table."""
        senders, self._pending = self._pending, []
        for sender in senders:
            body, sender.body = sender.body, None
            if body is not None:
                self._decode(sender, body)

    def stale_senders(self, before_s: float) -> list[str]:
        """Returns the names of the senders whose last report is older than a time.

        :param before_s: loop time in seconds.
        """
        senders = self._sender_by_hash.values()
        return [sender.name for sender in senders if sender.received_at_s < before_s]

    def forget(self, name: str) -> None:
        """Removes an instance and its assignments."""
        sender = self._sender_by_hash.pop(hash_of(name), None)
        if sender is not None:
            sender.body = None
        self._table.replace_remote_assignments(name, ())

    def _is_newer(self, datagram: Datagram, now_s: float) -> bool:
        if datagram.sender_hash == self._own_hash:
            return False
        known = self._sender_by_hash.get(datagram.sender_hash)
        if known is None or now_s - known.received_at_s > self._expiry_s:
            return True
        if datagram.started_ms == known.started_ms:
            return datagram.sequence > known.sequence
        return self._is_new_start(datagram, known, now_s)

    def _is_new_start(self, datagram: Datagram, known: _Sender, now_s: float) -> bool:
        """Returns whether a report with another start comes from a newer process.

        The sender's time of day may have jumped back between the starts, so an earlier
        start is accepted too once ``MIN_RESTART_S`` has passed since the last report. A
        late report of the previous process is refused by its start.
        """
        if datagram.started_ms == known.previous_start_ms:
            return False
        is_later = datagram.started_ms > known.started_ms
        return is_later or now_s - known.received_at_s > MIN_RESTART_S

    def _sender_of(self, datagram: Datagram) -> _Sender:
        """Returns the record of a report's sender.

        The first report of a sender is decoded for the name, as a frame holds a hash.
        """
        known = self._sender_by_hash.get(datagram.sender_hash)
        if known is not None:
            return known
        sender = _Sender(decode_report(datagram.body).sender)
        self._sender_by_hash[datagram.sender_hash] = sender
        return sender

    def _decode(self, sender: _Sender, body: bytes) -> None:
        try:
            report = decode_report(body)
            assignments = tuple(
                to_assignment(item, sender.received_at_s) for item in report.runs
            )
        except (MalformedMessage, ValueError) as error:
            self._on_malformed(sender.name, error)
            return
        self._table.replace_remote_assignments(sender.name, assignments)
