"""The membership view of one instance, and the order of two records."""

from __future__ import annotations

from typing import Iterable

import attrs
import xxhash

from cicadacourse.membership._model import Member, MemberState
from cicadacourse.util import hashing

# Members are compared by hashes of this many buckets.
BUCKET_COUNT = 64

_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


def is_newer(received: Member, known: Member) -> bool:
    """Returns whether a record replaces another of the same member.

    The higher incarnation is newer. Within one incarnation the worse state is, since
    only the member itself may refute it, by raising its incarnation.
    """
    received_rank = _RANK_BY_STATE[received.state]
    known_rank = _RANK_BY_STATE[known.state]
    return (received.incarnation, received_rank) > (known.incarnation, known_rank)


@attrs.define
class Entry:
    """One record of the view.

    :param member: the record.
    :param since: loop time in seconds from which the age of its state is counted.
    """

    member: Member
    since: float


class MembershipView:
    """The records of all other members, the dead included.

    :ivar generation: grows with each change of a record.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._entry_by_name: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entry_by_name)

    def find(self, name: str) -> Member | None:
        """Returns the record of a member, or None if it is unknown."""
        entry = self._entry_by_name.get(name)
        return entry.member if entry else None

    def entries(self) -> list[Entry]:
        """Returns all records with the times of their states."""
        return list(self._entry_by_name.values())

    def live(self) -> list[Member]:
        """Returns all members that are not dead."""
        return [
            entry.member
            for entry in self._entry_by_name.values()
            if entry.member.state is not MemberState.DEAD
        ]

    def merge(self, received: Member, now_s: float) -> bool:
        """Merges a received record and returns whether it is to be gossiped.

        A configuration version that rose alone is kept but not gossiped: it is sent in
        the messages of the member itself.

        :param now_s: loop time in seconds.
        """
        entry = self._entry_by_name.get(received.name)
        if entry is None:
            self._put(Entry(received, now_s))
            return True
        if is_newer(received, entry.member):
            version = received.configuration_version
            if received.incarnation == entry.member.incarnation:
                version = max(version, entry.member.configuration_version)
            member = attrs.evolve(received, configuration_version=version)
            self._put(Entry(member, now_s))
            return True
        if received.incarnation == entry.member.incarnation:
            version = received.configuration_version
            if version > entry.member.configuration_version:
                entry.member = attrs.evolve(entry.member, configuration_version=version)
                self.generation += 1
        return False

    def _put(self, entry: Entry) -> None:
        self._entry_by_name[entry.member.name] = entry
        self.generation += 1

    def forget(self, name: str) -> None:
        """Removes a record."""
        self._entry_by_name.pop(name, None)
        self.generation += 1


def bucket_of(name: str) -> int:
    """Returns the number of the anti-entropy bucket of a member."""
    return hashing.score("bucket", name) % BUCKET_COUNT


def bucket_hashes(members: Iterable[Member]) -> tuple[int, ...]:
    """Returns one hash for each bucket, over names, incarnations and states."""
    hashes = [0] * BUCKET_COUNT
    for member in members:
        text = f"{member.name}\x00{member.incarnation}\x00{member.state.value}"
        hashes[bucket_of(member.name)] ^= xxhash.xxh3_64_intdigest(text.encode())
    return tuple(hashes)


def digest(hashes: Iterable[int]) -> int:
    """Returns one hash over the hashes of all buckets."""
    text = ",".join(map(str, hashes))
    return xxhash.xxh3_64_intdigest(text.encode())
