"""Which endpoints send data to this instance, and which are silent, by all exchanges.

The expected load is a silence of one endpoint, of a few or of a whole pool. A request
whose endpoint is silent looks for one that isn't, if there may be any.
"""

from __future__ import annotations

import attrs

from cicadacourse.gateway._attempt import Attempt

# A pool is not silent as a whole if data came so lately. Longer than the pauses between
# the responses to rare calls, shorter than a silence after which a stream is hedged.
RECENT_DATA_S = 0.7


@attrs.define
class EndpointActivity:
    """The exchanges in progress, and when endpoints have last sent data.

    The expected load is some hundred endpoints that send data within ``RECENT_DATA_S``;
    older times are dropped.
    """

    _exchanges: set[Attempt] = attrs.field(factory=set)
    # Pairs of a pool and a loop time by the endpoint's id, the oldest first.
    _data_by_id: dict[str, tuple[str, float]] = attrs.field(factory=dict)

    def add(self, exchange: Attempt) -> None:
        """Adds an exchange that begins."""
        self._exchanges.add(exchange)

    def remove(self, exchange: Attempt) -> None:
        """Removes an exchange that has ended."""
        self._exchanges.discard(exchange)

    def record_data(self, pool: str, endpoint_id: str, now_s: float) -> None:
        """Records that an endpoint of a pool has sent data."""
        self._data_by_id.pop(endpoint_id, None)
        self._data_by_id[endpoint_id] = (pool, now_s)
        self._drop_old(now_s)

    def silent_ids(self, now_s: float) -> frozenset[str]:
        """Returns the ids of endpoints with an exchange that is silent for too long."""
        return frozenset(
            item.endpoint_id
            for item in self._exchanges
            if item.endpoint_id is not None and item.silence_limit_at(now_s) <= now_s
        )

    def has_recent_data(
        self, pool: str, other_than: frozenset[str], now_s: float
    ) -> bool:
        """Returns whether an endpoint of a pool has sent data lately.

        :param other_than: ids of endpoints that don't count.
        """
        self._drop_old(now_s)
        return any(
            item == pool and endpoint_id not in other_than
            for endpoint_id, (item, _) in self._data_by_id.items()
        )

    def _drop_old(self, now_s: float) -> None:
        while self._data_by_id:
            oldest_id = next(iter(self._data_by_id))
            _, at_s = self._data_by_id[oldest_id]
            if at_s >= now_s - RECENT_DATA_S:
                return
            del self._data_by_id[oldest_id]
