"""The reference caller: looks up instances, asks, checks, and resumes."""

from cicadacourse.caller._caller import Caller
from cicadacourse.caller._reply import COMPLETE, FAILED, REFUSED, UNKNOWN, Reply

__all__ = ["COMPLETE", "FAILED", "REFUSED", "UNKNOWN", "Caller", "Reply"]
