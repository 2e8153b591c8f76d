"""A plain service whose calls may not be repeated: alerts, bookings."""

from standins.service._core import (
    CallAnswer,
    CallRequest,
    ServiceCore,
    ServiceFaults,
    ServiceRefusal,
)

__all__ = [
    "CallAnswer",
    "CallRequest",
    "ServiceCore",
    "ServiceFaults",
    "ServiceRefusal",
]
