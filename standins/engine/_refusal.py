"""The engine's refusals."""

from __future__ import annotations

from standins._refusal import Refusal


class EngineRefusal(Refusal):
    """The engine's refusal of one call."""
