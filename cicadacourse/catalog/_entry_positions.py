"""From which position in the store's log each entry of the registry is known.

Instances read the log at different times and copy the registry from each other. The
log alone orders the entries of an endpoint. So each entry bears the position up to
which it is the newest one of its endpoint, and it replaces another only if its own
position is higher, wherever it comes from.
"""

from __future__ import annotations

import attrs

# The position of an entry from an instance of an earlier release, which names none.
UNKNOWN_POSITION = 0


@attrs.define
class EntryPositions:
    """The positions of the listed entries, and up to which position all are known.

    An endpoint without an entry here has none in the log before :attr:`known_until`. If
    another instance still lists one from before it, that one was removed since, so no
    list of removed endpoints is needed.

    :ivar known_until: every record before this position is applied.
    """

    known_until: int = UNKNOWN_POSITION
    _position_by_id: dict[str, int] = attrs.field(factory=dict)

    def find(self, endpoint_id: str) -> int:
        """Returns the position of an endpoint's entry or removal.

        Without either, it is the one up to which it surely has no entry.
        """
        return self._position_by_id.get(endpoint_id, self.known_until)

    def is_news(self, endpoint_id: str, position: int) -> bool:
        """Returns whether what is known from a position is newer than what is here."""
        return position > self.find(endpoint_id)

    def record(self, endpoint_id: str, position: int) -> None:
        """Records the position of an endpoint's entry, or of a removal that is held."""
        self._position_by_id[endpoint_id] = position

    def forget(self, endpoint_id: str) -> None:
        """Records that an endpoint is no longer listed."""
        self._position_by_id.pop(endpoint_id, None)

    def advance_to(self, position: int) -> None:
        """Records that every record before a position is applied."""
        self.known_until = max(self.known_until, position)
