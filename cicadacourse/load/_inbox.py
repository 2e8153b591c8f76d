"""The last report of each other instance, read when somebody needs to know."""

from __future__ import annotations

from typing import Callable

import attrs

from cicadacourse.load._book import LoadTable
from cicadacourse.load._codec import decode_report
from cicadacourse.load._datagram import Datagram, hash_of
from cicadacourse.load._reports import to_assignment
from cicadacourse.peers import MalformedMessage

# A process takes longer to start anew, and a datagram less to arrive.
MIN_RESTART_S = 0.3


@attrs.define
class _Sender:
    """The last report of one instance.

    :ivar former_start_ms: the start before the one that it bears, 0 if unknown.
    :ivar body: the report while nobody has read it, else None.
    """

    name: str
    former_start_ms: int = 0
    started_ms: int = 0
    sequence: int = 0
    heard_at: float = 0.0
    body: bytes | None = None


class Inbox:
    """Keeps the newest report of each sender and reads it into a book on demand.

    :param book: gets the runs.
    :param own_name: this instance's, whose own reports come back at times.
    :param expiry_s: after so long without one, any report of a sender is taken.
    :param refused: called with the sender and the reason if a body is malformed.
    """

    def __init__(
        self,
        book: LoadTable,
        own_name: str,
        expiry_s: float,
        refused: Callable[[str, Exception], None],
    ) -> None:
        self._book = book
        self._own_hash = hash_of(own_name)
        self._expiry_s = expiry_s
        self._refused = refused
        self._sender_by_hash: dict[int, _Sender] = {}
        self._unread: list[_Sender] = []

    def take(self, datagram: Datagram, at: float) -> str | None:
        """Takes a report; returns its sender's name, or None if it is no news.

        :raises MalformedMessage: if the first report of a sender can't be read.
        """
        if not self._is_newer(datagram, at):
            return None
        sender = self._sender_of(datagram)
        if sender.body is None:
            self._unread.append(sender)
        sender.body = datagram.body
        if sender.started_ms != datagram.started_ms:
            sender.former_start_ms = sender.started_ms
        sender.started_ms = datagram.started_ms
        sender.sequence = datagram.sequence
        sender.heard_at = at
        return sender.name

    def read_all(self) -> None:
        """Reads what nobody has read yet into the book."""
        senders, self._unread = self._unread, []
        for sender in senders:
            body, sender.body = sender.body, None
            if body is not None:
                self._read(sender, body)

    def silent_since(self, at: float) -> list[str]:
        """Returns the names of senders that have told nothing since a time."""
        senders = self._sender_by_hash.values()
        return [sender.name for sender in senders if sender.heard_at < at]

    def forget(self, name: str) -> None:
        """Forgets an instance with its runs."""
        sender = self._sender_by_hash.pop(hash_of(name), None)
        if sender is not None:
            sender.body = None
        self._book.replace_remote_assignments(name, ())

    def _is_newer(self, datagram: Datagram, at: float) -> bool:
        if datagram.sender_hash == self._own_hash:
            return False
        known = self._sender_by_hash.get(datagram.sender_hash)
        if known is None or at - known.heard_at > self._expiry_s:
            return True
        if datagram.started_ms == known.started_ms:
            return datagram.sequence > known.sequence
        return self._is_new_start(datagram, known, at)

    def _is_new_start(self, datagram: Datagram, known: _Sender, at: float) -> bool:
        """Returns whether a report of another start is of a later one.

        The time of day may have jumped back, but no start follows another this soon.
        """
        if datagram.started_ms == known.former_start_ms:
            return False
        is_later = datagram.started_ms > known.started_ms
        return is_later or at - known.heard_at > MIN_RESTART_S

    def _sender_of(self, datagram: Datagram) -> _Sender:
        """Returns the record of a report's sender; the first one bears its name."""
        known = self._sender_by_hash.get(datagram.sender_hash)
        if known is not None:
            return known
        sender = _Sender(decode_report(datagram.body).sender)
        self._sender_by_hash[datagram.sender_hash] = sender
        return sender

    def _read(self, sender: _Sender, body: bytes) -> None:
        try:
            report = decode_report(body)
            runs = tuple(to_assignment(item, sender.heard_at) for item in report.runs)
        except (MalformedMessage, ValueError) as error:
            self._refused(sender.name, error)
            return
        self._book.replace_remote_assignments(sender.name, runs)
