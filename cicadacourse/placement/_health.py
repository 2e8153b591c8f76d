"""Which endpoints are set aside because their answers show that they fail.

Faults answered: an endpoint that is dead, silent or failing a part of its requests
while its health probe is good. A cap keeps most of a pool in use whatever is seen.
"""

from __future__ import annotations

import attrs

# A slot mostly comes free within this time.
REFUSAL_PENALTY_S = 0.5
# Doubled with each further failure, up to the time that most crashes last.
FIRST_PENALTY_S = 1.0
MAX_PENALTY_S = 4.0
FORGIVEN_AFTER_S = 10.0
# Above the share of errors that some services always answer with.
FAILURE_SHARE_LIMIT = 0.45
# Weight of the latest answer in the running share of failures.
FAILURE_SHARE_WEIGHT = 0.2
MIN_SAMPLES = 4
# Of a pool's endpoints; more at once points to a fault on this side.
MAX_SUSPECT_SHARE = 0.4


@attrs.define
class _Record:
    failure_share: float = 0.0
    samples: int = 0
    penalty_s: float = 0.0
    suspect_until: float = 0.0
    last_failure: float = 0.0


class EndpointHealth:
    """What answers have shown of each endpoint, by id."""

    def __init__(self) -> None:
        self._record_by_id: dict[str, _Record] = {}

    def record_success(self, endpoint_id: str) -> None:
        """Notes a whole answer."""
        record = self._record(endpoint_id)
        record.failure_share *= 1 - FAILURE_SHARE_WEIGHT
        record.samples += 1

    def record_error_answer(self, endpoint_id: str, now: float) -> float:
        """Notes an answer that tells of a failure.

        :returns: for how many seconds it is set aside because of it, 0 if not.
        """
        record = self._record(endpoint_id)
        share = record.failure_share
        record.failure_share = share + FAILURE_SHARE_WEIGHT * (1 - share)
        record.samples += 1
        if record.samples < MIN_SAMPLES or record.failure_share < FAILURE_SHARE_LIMIT:
            return 0.0
        return self._suspect(record, now)

    def record_transport_failure(self, endpoint_id: str, now: float) -> float:
        """Notes that it could not be reached, or broke off, or gave no answer.

        :returns: for how many seconds it is set aside because of it, 0 if it was.
        """
        return self._suspect(self._record(endpoint_id), now)

    def record_refusal(self, endpoint_id: str, now: float) -> float:
        """Notes that it took no request: it is full, leaves, or can't help.

        :returns: for how many seconds it is set aside because of it, 0 if it was.
        """
        record = self._record(endpoint_id)
        if now < record.suspect_until:
            return 0.0
        record.suspect_until = now + REFUSAL_PENALTY_S
        record.last_failure = now
        return REFUSAL_PENALTY_S

    def forget(self, endpoint_id: str) -> None:
        """Forgets an endpoint that has gone or started anew."""
        self._record_by_id.pop(endpoint_id, None)

    def is_ejected(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is set aside now."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and now < record.suspect_until

    def usable_ids(self, endpoint_ids: list[str], now: float) -> set[str]:
        """Returns the ids that may be used: at most a share of them is set aside.

        Beyond the share, those that failed longest ago are used again.
        """
        suspects = [item for item in endpoint_ids if self.is_ejected(item, now)]
        suspects.sort(key=lambda item: -self._record_by_id[item].last_failure)
        limit = int(MAX_SUSPECT_SHARE * len(endpoint_ids))
        return set(endpoint_ids) - set(suspects[:limit])

    def _record(self, endpoint_id: str) -> _Record:
        return self._record_by_id.setdefault(endpoint_id, _Record())

    def _suspect(self, record: _Record, now: float) -> float:
        if now < record.suspect_until:
            return 0.0
        if now - record.last_failure > FORGIVEN_AFTER_S:
            record.penalty_s = 0.0
        record.penalty_s = min(
            MAX_PENALTY_S, max(FIRST_PENALTY_S, 2 * record.penalty_s)
        )
        record.suspect_until = now + record.penalty_s
        record.last_failure = now
        record.failure_share = 0.0
        record.samples = 0
        return record.penalty_s
