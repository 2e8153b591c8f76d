"""Addresses at which other instances may be found."""

from __future__ import annotations

import abc

import attrs
from returns.result import Result

from cicadacourse.errors import Error


@attrs.frozen
class Contact:
    """A name and an address to ask, which may be stale or wrong."""

    name: str
    address: str


class ContactSource(abc.ABC):
    """Where an instance learns whom to ask; the service ``contacts``."""

    @abc.abstractmethod
    async def fetch(self, timeout_s: float) -> Result[tuple[Contact, ...], Error]:
        """Returns the contacts as they are known now."""
