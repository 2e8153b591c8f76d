"""How the loops of the membership service wait."""

from __future__ import annotations

from typing import Awaitable, Callable

# Sleeps for some seconds.
Sleep = Callable[[float], Awaitable[None]]
