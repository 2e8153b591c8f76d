"""The append-only log service: streams, offsets, retention, outages."""

from standins.log._core import LogCore, LogFaults

__all__ = ["LogCore", "LogFaults"]
