"""The rate-limited store of model weights."""

from standins.weight_store._core import (
    Weights,
    WeightStoreCore,
    WeightStoreFaults,
    WeightStoreRefusal,
)

__all__ = ["WeightStoreCore", "WeightStoreFaults", "WeightStoreRefusal", "Weights"]
