"""Typed messages and calls between instances."""

from cicadacourse.peers._base import (
    MESSAGES,
    Peers,
    handlers_by_message,
    handles,
    message,
)
from cicadacourse.peers._capnp import CapnpPeers
from cicadacourse.peers._codec import MalformedMessage, decode, encode, load_schema
from cicadacourse.peers._dispatch import PeersSettings
from cicadacourse.peers._memory import MemoryNetwork, MemoryPeers

__all__ = [
    "MESSAGES",
    "CapnpPeers",
    "MalformedMessage",
    "MemoryNetwork",
    "MemoryPeers",
    "Peers",
    "PeersSettings",
    "decode",
    "encode",
    "handlers_by_message",
    "handles",
    "load_schema",
    "message",
]
