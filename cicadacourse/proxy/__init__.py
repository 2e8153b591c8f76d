"""Exchanges with endpoints, directly or through another instance."""

from cicadacourse.proxy._checks import check_ready
from cicadacourse.proxy._client import ProxyingClient

__all__ = ["ProxyingClient", "check_ready"]
