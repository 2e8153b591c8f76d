"""Exchanges with endpoints, directly or through another instance."""

from cicadacourse.proxy._checks import check_ready
from cicadacourse.proxy._client import ProxyingClient
from cicadacourse.proxy._server import ProxyServer

__all__ = ["ProxyServer", "ProxyingClient", "check_ready"]
