"""Loads families, so that their settings, services and messages are registered."""

from __future__ import annotations

import importlib
from typing import Sequence

FAMILIES = (
    "peers",
    "membership",
    "catalog",
    "load",
    "placement",
    "reservations",
    "gateway",
    "feed",
    "platform",
)


def load_families(families: Sequence[str] = FAMILIES) -> None:
    """Imports the public module of each family."""
    for family in families:
        importlib.import_module(f"cicadacourse.{family}")
