"""The interface by which KV cache is reserved on engines."""

from __future__ import annotations

import abc

from returns.result import Result

from cicadacourse.catalog import Endpoint
from cicadacourse.errors import Error


class KvCacheClient(abc.ABC):
    """Reserves and releases KV cache.

    The service ``direct_memory_client`` uses the links of this instance only,
    ``memory_client`` those of other instances too.
    """

    @abc.abstractmethod
    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_s: float,
        is_renewal: bool = False,
    ) -> Result[None, Error]:
        """Makes or renews a reservation.

        :param reservation_id: identifies the reservation on its engine.
        :param tokens: the number of tokens to reserve.
        :param hold_s: seconds from now after which the reservation expires.
        :param is_renewal: whether a request in progress holds the reservation, which
            is renewed whether or not the engine may get new requests.
        :returns: a Failure of kind ``ENDPOINT_REFUSED`` if nothing is reserved; after
            any other Failure it is unknown whether something is reserved.
        """

    @abc.abstractmethod
    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Result[None, Error]:
        """Releases a reservation; does nothing if there is none."""

    @abc.abstractmethod
    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint still accepts connections."""
