"""What is suspected of crashing endpoints: parts of prompts, and requests."""

from cicadacourse.quarantine._digests import make_digest
from cicadacourse.quarantine._keys import RequestKeys
from cicadacourse.quarantine._service import Quarantine
from cicadacourse.quarantine._verdicts import (
    Crash,
    CrashRecord,
    Verdict,
    choose_blamed,
    judge,
)

__all__ = [
    "Crash",
    "CrashRecord",
    "Quarantine",
    "RequestKeys",
    "Verdict",
    "choose_blamed",
    "judge",
    "make_digest",
]
