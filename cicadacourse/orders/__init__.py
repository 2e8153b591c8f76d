"""Orders to endpoints, given under leases that the log's order decides."""

from cicadacourse.orders._service import Orders
from cicadacourse.orders._settings import OrderSettings
from cicadacourse.orders._weight_store import (
    HttpWeightStore,
    Weights,
    WeightStore,
    get_rate_limit_error,
)

__all__ = [
    "HttpWeightStore",
    "OrderSettings",
    "Orders",
    "WeightStore",
    "Weights",
    "get_rate_limit_error",
]
