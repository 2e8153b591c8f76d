"""Outlier ejection: endpoints that fail get no requests for up to ``MAX_EJECTION_S``.

It detects an endpoint that is dead, doesn't respond or fails a part of its requests
while its health probe succeeds. A cap on the ejected share keeps most of a pool in use
in any case.
"""

from __future__ import annotations

from typing import Collection

import attrs

# Duration of an ejection for a refusal. In most cases a slot becomes free within this
# time.
REFUSAL_EJECTION_S = 0.5
# Duration of the first ejection for a failure. It doubles with each further one, up to
# the time that most crashes last.
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0
# The duration starts from its base again if this long has passed since the last
# ejection began.
BACKOFF_RESET_S = 10.0
# An endpoint is ejected from this failure share on. Some services always return
# errors for a lower share of requests.
FAILURE_SHARE_LIMIT = 0.45
# Weight of the latest response in the exponential moving average of failures.
FAILURE_SHARE_WEIGHT = 0.2
# Responses that the failure share needs before it counts.
MIN_SAMPLES = 4
# The largest share of a pool that is left out. More failures at the same time point to
# a fault of this instance or its network, and the rest could not carry the load.
MAX_LEFT_OUT_SHARE = 0.4
# How long an endpoint whose process has ended gets no requests, unless its entry
# changes before. Nothing can be sent to it, so the largest share doesn't count.
ENDED_S = 10.0


@attrs.define
class _Record:
    """The failures of one endpoint; ``ejected_...`` are loop times in seconds.

    :ivar ejection_s: the seconds of the last ejection for a failure.
    :ivar ended_until: until when its process counts as ended.
    """

    failure_share: float = 0.0
    samples: int = 0
    ejection_s: float = 0.0
    ejected_until: float = 0.0
    ejected_since: float = 0.0
    ended_until: float = 0.0


class EndpointHealth:
    """Records failures of endpoints, by id, and decides which are ejected."""

    def __init__(self) -> None:
        self._record_by_id: dict[str, _Record] = {}

    def record_success(self, endpoint_id: str) -> None:
        """Records a complete response."""
        record = self._record(endpoint_id)
        record.failure_share *= 1 - FAILURE_SHARE_WEIGHT
        record.samples += 1
        record.ended_until = 0.0

    def record_ended(self, endpoint_id: str, now_s: float) -> float:
        """Records that the process of an endpoint has ended.

        :returns: as :meth:`record_transport_failure`.
        """
        record = self._record(endpoint_id)
        record.ended_until = now_s + ENDED_S
        return self._eject(record, now_s)

    def record_error_response(self, endpoint_id: str, now_s: float) -> float:
        """Records an error response.

        :returns: the seconds for which the endpoint is ejected because of it, or 0.
        """
        record = self._record(endpoint_id)
        share = record.failure_share
        record.failure_share = share + FAILURE_SHARE_WEIGHT * (1 - share)
        record.samples += 1
        if record.samples < MIN_SAMPLES or record.failure_share < FAILURE_SHARE_LIMIT:
            return 0.0
        return self._eject(record, now_s)

    def record_transport_failure(self, endpoint_id: str, now_s: float) -> float:
        """Records a failed connection, an aborted exchange or a missing response.

        :returns: the seconds for which the endpoint is ejected because of it, or 0 if
            it was ejected already.
        """
        return self._eject(self._record(endpoint_id), now_s)

    def record_refusal(self, endpoint_id: str, now_s: float) -> float:
        """Records a refusal: the endpoint is full, is leaving or can't be a helper.

        :returns: the seconds for which the endpoint is ejected because of it, or 0 if
            it was ejected already.
        """
        record = self._record(endpoint_id)
        if now_s < record.ejected_until:
            return 0.0
        record.ejected_until = now_s + REFUSAL_EJECTION_S
        record.ejected_since = now_s
        return REFUSAL_EJECTION_S

    def forget(self, endpoint_id: str) -> None:
        """Removes the record of an endpoint that was removed or has restarted."""
        self._record_by_id.pop(endpoint_id, None)

    def is_ejected(self, endpoint_id: str, now_s: float) -> bool:
        """Returns whether an endpoint is ejected now."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and now_s < record.ejected_until

    def usable_ids(
        self, endpoint_ids: list[str], now_s: float, lost_ids: Collection[str] = ()
    ) -> set[str]:
        """Returns the ids of endpoints that may be used.

        At most ``MAX_LEFT_OUT_SHARE`` of them are left out. If more links are lost, all
        are used through other instances; if more endpoints are ejected, those ejected
        first are used nevertheless. Those whose processes have ended are left out in
        any case, unless all have.

        :param lost_ids: endpoints to which the links of this instance are lost.
        """
        running = [item for item in endpoint_ids if not self._has_ended(item, now_s)]
        endpoint_ids = running or endpoint_ids
        lost_ids = set(lost_ids).intersection(endpoint_ids)
        limit = int(MAX_LEFT_OUT_SHARE * len(endpoint_ids))
        left_out = lost_ids if len(lost_ids) <= limit else set()
        ejected = [
            item
            for item in endpoint_ids
            if item not in left_out and self.is_ejected(item, now_s)
        ]
        ejected.sort(key=lambda item: -self._record_by_id[item].ejected_since)
        left_out.update(ejected[: limit - len(left_out)])
        return set(endpoint_ids) - left_out

    def _has_ended(self, endpoint_id: str, now_s: float) -> bool:
        record = self._record_by_id.get(endpoint_id)
        return record is not None and now_s < record.ended_until

    def _record(self, endpoint_id: str) -> _Record:
        return self._record_by_id.setdefault(endpoint_id, _Record())

    def _eject(self, record: _Record, now_s: float) -> float:
        if now_s < record.ejected_until:
            return 0.0
        if now_s - record.ejected_since > BACKOFF_RESET_S:
            record.ejection_s = 0.0
        record.ejection_s = min(
            MAX_EJECTION_S, max(BASE_EJECTION_S, 2 * record.ejection_s)
        )
        record.ejected_until = now_s + record.ejection_s
        record.ejected_since = now_s
        record.failure_share = 0.0
        record.samples = 0
        return record.ejection_s
