"""The keeper's side: token buckets of the organisations that it owns."""

from __future__ import annotations

import itertools

import attrs

from cicadacourse.application import Application
from cicadacourse.limits._bucket import TokenBucket
from cicadacourse.limits._messages import SliceReply, SliceRequest
from cicadacourse.limits._ownership import OwnershipHistory
from cicadacourse.limits._settings import BUCKETS, EVICTIONS, LimitsSettings
from cicadacourse.util.clock import now

_EXTRA_SHARE = 0.5


def owner_key(organisation: str) -> str:
    """Returns the key whose owner keeps an organisation's buckets."""
    return f"organisation/{organisation}"


@attrs.frozen
class KeptBucket:
    """One bucket that this instance keeps.

    :param level: tokens in it now.
    :param burst: the most tokens that it holds.
    """

    organisation: str
    route: str
    level: float
    burst: float


class _Buckets:
    """Buckets by organisation and route, the one used longest ago first."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._limit = app.settings.get(LimitsSettings).max_buckets
        self._bucket_by_id: dict[tuple[str, str], TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._bucket_by_id)

    def use(self, bucket_id: tuple[str, str]) -> TokenBucket | None:
        """Returns a bucket, if there is one, and makes it the latest used."""
        bucket = self._bucket_by_id.pop(bucket_id, None)
        if bucket is not None:
            self._bucket_by_id[bucket_id] = bucket
        return bucket

    def add(self, bucket_id: tuple[str, str], bucket: TokenBucket) -> None:
        """Adds a bucket; drops the one used longest ago if there are too many."""
        if len(self._bucket_by_id) >= self._limit:
            oldest = self._bucket_by_id.pop(next(iter(self._bucket_by_id)))
            if not _is_full(oldest):
                self._app.metrics.count(EVICTIONS)
        self._bucket_by_id[bucket_id] = bucket

    def rows(self) -> list[KeptBucket]:
        """Returns what ``show`` prints."""
        rows = []
        for (organisation, route), bucket in self._bucket_by_id.items():
            filled = attrs.evolve(bucket)
            filled.fill(now())
            rows.append(KeptBucket(organisation, route, filled.level, bucket.burst))
        return rows

    def drop_full(self, limit: int) -> None:
        """Drops the full ones among those used longest ago; they say nothing."""
        for bucket_id in list(itertools.islice(self._bucket_by_id, limit)):
            if _is_full(self._bucket_by_id[bucket_id]):
                del self._bucket_by_id[bucket_id]


def _is_full(bucket: TokenBucket) -> bool:
    return bucket.seconds_until(bucket.burst) <= now() - bucket.at


class Keeper:
    """Hands out slices of the buckets that this instance owns.

    A slice is taken out of the bucket when it is granted, so no one can spend a token
    twice. A bucket that is new here starts with what has flowed into it since this
    instance became its owner, as an earlier owner may have emptied it just before.
    """

    def __init__(self, app: Application, own_name: str, started_at: float) -> None:
        self._app = app
        self._history = OwnershipHistory(own_name, started_at)
        self._buckets = _Buckets(app)
        settings = app.settings.get(LimitsSettings)
        self._new_bucket_share = settings.new_bucket_share

    def note_members(self, names: tuple[str, ...]) -> None:
        """Notes who may own keys now."""
        self._history.note(names, now())

    def sweep(self, limit: int) -> None:
        """Drops some buckets that are full again."""
        self._buckets.drop_full(limit)
        self._app.metrics.set(BUCKETS, len(self._buckets))

    def rows(self) -> list[KeptBucket]:
        """Returns the buckets as they are now, the one used longest ago first."""
        return self._buckets.rows()

    def grant(self, request: SliceRequest) -> SliceReply:
        """Grants a slice, or none if fewer tokens than needed are there."""
        bucket = self._bucket(request)
        if bucket.level < request.needed:
            return SliceReply(tokens=0.0, level=bucket.level)
        extra = max(0.0, request.wanted - request.needed)
        spare = (bucket.level - request.needed) * _EXTRA_SHARE
        tokens = request.needed + min(extra, spare)
        bucket.take(tokens)
        return SliceReply(tokens=tokens, level=bucket.level)

    def _bucket(self, request: SliceRequest) -> TokenBucket:
        """Returns the bucket as of now."""
        bucket_id = (request.organisation, request.route)
        bucket = self._buckets.use(bucket_id)
        if bucket is None:
            level = min(request.burst, self._level_at_move(request))
            bucket = TokenBucket(request.rate, request.burst, level, now())
            self._buckets.add(bucket_id, bucket)
            return bucket
        seen_at = bucket.at
        bucket.fill(now())
        bucket.change(request.rate, request.burst)
        if seen_at < self._history.last_change:
            # Another instance may have been the owner in between.
            if now() - self._owned_s(request) > seen_at:
                bucket.level = min(bucket.level, self._level_at_move(request))
        return bucket

    def _level_at_move(self, request: SliceRequest) -> float:
        flowed_in = request.rate * self._owned_s(request)
        return max(flowed_in, request.burst * self._new_bucket_share)

    def _owned_s(self, request: SliceRequest) -> float:
        key = owner_key(request.organisation)
        return now() - self._history.owned_since(key, now())
