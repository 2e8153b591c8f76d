"""Engine sessions: who holds them, and the release of those that nobody does."""

from cicadacourse.sessions._messages import HoldQuery, HoldReply
from cicadacourse.sessions._service import Sessions
from cicadacourse.sessions._settings import SessionsSettings

__all__ = ["HoldQuery", "HoldReply", "Sessions", "SessionsSettings"]
