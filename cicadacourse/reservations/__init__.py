"""KV-cache reservations on several engines for one prompt."""

from cicadacourse.reservations._client import KvCacheClient
from cicadacourse.reservations._proxying_client import ProxyingKvCacheClient
from cicadacourse.reservations._service import (
    Reservation,
    ReservationRefused,
    ReservationService,
)

__all__ = [
    "KvCacheClient",
    "ProxyingKvCacheClient",
    "Reservation",
    "ReservationRefused",
    "ReservationService",
]
