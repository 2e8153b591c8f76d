"""Claims of keys in the log, so that a keyed call runs at most once."""

from cicadacourse.claims._fold import Claimed, PartitionFold
from cicadacourse.claims._keeper import Keeper
from cicadacourse.claims._model import (
    MAX_KEY_SKEW_S,
    ClaimKind,
    ClaimOutcome,
    ClaimsSettings,
)
from cicadacourse.claims._service import Claims

__all__ = [
    "ClaimKind",
    "ClaimOutcome",
    "Claimed",
    "Claims",
    "ClaimsSettings",
    "Keeper",
    "MAX_KEY_SKEW_S",
    "PartitionFold",
]
