"""The limits on requests that endpoints name in their responses."""

from cicadacourse.limits._service import EndpointLimits

__all__ = ["EndpointLimits"]
