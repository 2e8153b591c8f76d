"""Parts of prompts that are suspected of crashing the engines that answer them."""

from cicadacourse.quarantine._digests import make_digest
from cicadacourse.quarantine._service import Quarantine
from cicadacourse.quarantine._verdicts import (
    PartCrash,
    PartRecord,
    Verdict,
    choose_blamed,
    judge,
)

__all__ = [
    "PartCrash",
    "PartRecord",
    "Quarantine",
    "Verdict",
    "choose_blamed",
    "judge",
    "make_digest",
]
