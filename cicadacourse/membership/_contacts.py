"""Contacts: addresses at which other instances may be reached."""

from __future__ import annotations

import abc

import attrs
from returns.result import Result

from cicadacourse.errors import Error


@attrs.frozen
class Contact:
    """The name and peer address of an instance, which may be stale or wrong."""

    name: str
    address: str


class ContactSource(abc.ABC):
    """The service ``contacts``, which lists instances that may be running."""

    @abc.abstractmethod
    async def fetch(self, timeout_s: float) -> Result[tuple[Contact, ...], Error]:
        """Returns the contacts that are listed now.

        :param timeout_s: time limit in seconds.
        """
