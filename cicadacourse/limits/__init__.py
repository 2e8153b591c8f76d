"""Limits of organisations, held across instances."""

from cicadacourse.limits._service import Limits
from cicadacourse.limits._settings import LimitsSettings

__all__ = ["Limits", "LimitsSettings"]
