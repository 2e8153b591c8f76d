"""What an engine is asked to do with its memory."""

from __future__ import annotations

import abc

from returns.result import Result

from cicadacourse.catalog import Endpoint
from cicadacourse.errors import Error


class KvCacheClient(abc.ABC):
    """Reserves and releases engine memory; the service is named ``memory_client``."""

    @abc.abstractmethod
    async def reserve(
        self, endpoint: Endpoint, reservation_id: str, tokens: int, hold_s: float
    ) -> Result[None, Error]:
        """Reserves memory under a ticket, or renews it, for a time from now.

        A Failure of kind ``ENDPOINT_REFUSED`` says that nothing is reserved; another
        one leaves it open.
        """

    @abc.abstractmethod
    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Result[None, Error]:
        """Releases what is reserved under a ticket, if anything is."""

    @abc.abstractmethod
    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint still takes connections."""
