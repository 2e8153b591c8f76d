"""The reservations of KV cache at a stand-in engine."""

from __future__ import annotations

import attrs

from cicadacourse.util.clock import now


@attrs.define
class _Reservation:
    """Reserved KV cache; ``expires`` is loop time in seconds."""

    tokens: int
    expires: float


class Reservations:
    """Reserved KV cache, by the id of the reservation, until it expires."""

    def __init__(self) -> None:
        self._reservation_by_id: dict[str, _Reservation] = {}

    @property
    def tokens(self) -> int:
        """The tokens of all reservations."""
        self._drop_expired()
        return sum(item.tokens for item in self._reservation_by_id.values())

    @property
    def ids(self) -> frozenset[str]:
        """The ids of all reservations."""
        self._drop_expired()
        return frozenset(self._reservation_by_id)

    def find_tokens(self, reservation_id: str) -> int | None:
        """Returns the tokens of a reservation, or None if there is none of this id."""
        self._drop_expired()
        reservation = self._reservation_by_id.get(reservation_id)
        return None if reservation is None else reservation.tokens

    def put(self, reservation_id: str, tokens: int, hold_s: float) -> None:
        """Adds a reservation that expires after some seconds."""
        self._reservation_by_id[reservation_id] = _Reservation(tokens, now() + hold_s)

    def renew(self, reservation_id: str, hold_s: float) -> bool:
        """Lets a reservation expire later and returns whether there is one.

        One that has expired, but was not read since, is renewed too.
        """
        known = self._reservation_by_id.get(reservation_id)
        if known is None:
            return False
        known.expires = now() + hold_s
        return True

    def release(self, reservation_id: str) -> None:
        """Removes a reservation, if there is one of this id."""
        self._reservation_by_id.pop(reservation_id, None)

    def _drop_expired(self) -> None:
        now_s = now()
        expired_ids = [
            key
            for key, item in self._reservation_by_id.items()
            if item.expires <= now_s
        ]
        for key in expired_ids:
            del self._reservation_by_id[key]
