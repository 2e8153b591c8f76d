"""Exchanges with endpoints, directly or through another instance."""

from cicadacourse.proxy._client import ProxyingClient
from cicadacourse.proxy._server import ProxyServer

__all__ = ["ProxyServer", "ProxyingClient"]
