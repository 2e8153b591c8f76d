"""What one instance knows of the others, and which of two records is newer."""

from __future__ import annotations

from typing import Iterable

import attrs
import xxhash

from cicadacourse.membership._model import Member, MemberState
from cicadacourse.util import hashing

BUCKETS = 64

_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


def is_newer(heard: Member, known: Member) -> bool:
    """Returns whether a record replaces another of the same member.

    The higher incarnation is newer. Within one, bad news is, since only the member
    itself may take it back, by raising its incarnation.
    """
    heard_rank = _RANK_BY_STATE[heard.state]
    known_rank = _RANK_BY_STATE[known.state]
    return (heard.incarnation, heard_rank) > (known.incarnation, known_rank)


@attrs.define
class Entry:
    """One record of the view.

    :param member: the record.
    :param since: when it took its state, loop time in seconds.
    """

    member: Member
    since: float


class MembershipView:
    """The records of all other members by name, the dead included."""

    def __init__(self) -> None:
        self._entry_by_name: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entry_by_name)

    def find(self, name: str) -> Member | None:
        """Returns a member's record, or None."""
        entry = self._entry_by_name.get(name)
        return entry.member if entry else None

    def entries(self) -> list[Entry]:
        """Returns all records with their times."""
        return list(self._entry_by_name.values())

    def live(self) -> list[Member]:
        """Returns all members but the dead."""
        return [
            entry.member
            for entry in self._entry_by_name.values()
            if entry.member.state is not MemberState.DEAD
        ]

    def merge(self, heard: Member, at: float) -> bool:
        """Takes in a record; returns whether it is news.

        A version of the configuration that rose alone is noted, but is no news: it
        travels in its owner's own messages.
        """
        entry = self._entry_by_name.get(heard.name)
        if entry is None:
            self._entry_by_name[heard.name] = Entry(heard, at)
            return True
        if is_newer(heard, entry.member):
            version = heard.configuration_version
            if heard.incarnation == entry.member.incarnation:
                version = max(version, entry.member.configuration_version)
            member = attrs.evolve(heard, configuration_version=version)
            self._entry_by_name[heard.name] = Entry(member, at)
            return True
        if heard.incarnation == entry.member.incarnation:
            version = max(
                heard.configuration_version, entry.member.configuration_version
            )
            entry.member = attrs.evolve(entry.member, configuration_version=version)
        return False

    def forget(self, name: str) -> None:
        """Drops a record."""
        self._entry_by_name.pop(name, None)


def bucket_of(name: str) -> int:
    """Returns the bucket of a member for anti-entropy."""
    return hashing.score("bucket", name) % BUCKETS


def bucket_hashes(members: Iterable[Member]) -> tuple[int, ...]:
    """Returns one hash for each bucket, over name, incarnation and state."""
    hashes = [0] * BUCKETS
    for member in members:
        text = f"{member.name}\x00{member.incarnation}\x00{member.state.value}"
        hashes[bucket_of(member.name)] ^= xxhash.xxh3_64_intdigest(text.encode())
    return tuple(hashes)


def digest(hashes: Iterable[int]) -> int:
    """Returns one hash over all buckets' hashes."""
    text = ",".join(map(str, hashes))
    return xxhash.xxh3_64_intdigest(text.encode())
