"""Loads families, so that their settings, services and messages are registered."""

from __future__ import annotations

import importlib
from typing import Sequence

SERVICE_PACKAGES = (
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


def import_services(packages: Sequence[str] = SERVICE_PACKAGES) -> None:
    """Imports the public module of each family."""
    for family in packages:
        importlib.import_module(f"cicadacourse.{family}")
