"""Shared rates: permits, and the limits on requests that endpoints name."""

from cicadacourse.limits._cold import LimitsSettings
from cicadacourse.limits._messages import Permit
from cicadacourse.limits._permits import Permits
from cicadacourse.limits._schedule import PermitSchedule
from cicadacourse.limits._service import EndpointLimits

__all__ = ["EndpointLimits", "LimitsSettings", "Permit", "PermitSchedule", "Permits"]
