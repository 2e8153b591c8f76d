"""Imports the packages that register settings, services and messages."""

from __future__ import annotations

import importlib
from typing import Sequence

SERVICE_PACKAGES = (
    "resources",
    "peers",
    "membership",
    "catalog",
    "load",
    "evidence",
    "reachability",
    "eligibility",
    "proxy",
    "limits",
    "quarantine",
    "placement",
    "reservations",
    "gateway",
    "feed",
    "platform",
)


def import_services(packages: Sequence[str] = SERVICE_PACKAGES) -> None:
    """Imports packages of ``cicadacourse``, so that their services are registered."""
    for package in packages:
        importlib.import_module(f"cicadacourse.{package}")
