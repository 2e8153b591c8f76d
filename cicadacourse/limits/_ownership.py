"""Since when this instance has been the owner of a key."""

from __future__ import annotations

import collections

import attrs

from cicadacourse.util import hashing

_CHANGES_KEPT = 16


@attrs.frozen
class _Change:
    at: float
    names: tuple[str, ...]


class OwnershipHistory:
    """Remembers the latest sets of members that may own keys.

    :param own_name: this instance's name.
    :param started_at: nothing is known of the time before, in seconds.
    """

    def __init__(self, own_name: str, started_at: float) -> None:
        self._own_name = own_name
        self._changes: collections.deque[_Change] = collections.deque(
            [_Change(started_at, ())], maxlen=_CHANGES_KEPT
        )

    @property
    def last_change(self) -> float:
        """When the members changed last, in seconds."""
        return self._changes[-1].at

    def note(self, names: tuple[str, ...], at: float) -> None:
        """Notes the members of now, if they changed."""
        if names != self._changes[-1].names:
            self._changes.append(_Change(at, names))

    def owned_since(self, key: str, at: float) -> float:
        """Returns since when the key has been owned here; ``at`` if it is not now."""
        since = at
        for change in reversed(self._changes):
            if hashing.owner(key, change.names) != self._own_name:
                return since
            since = change.at
        return since
