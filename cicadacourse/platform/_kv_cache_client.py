"""Orders to engines in the platform's protocol: KV-cache reservation and release."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import h11
from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.exchange import ResponseHead
from cicadacourse.platform import _names as names
from cicadacourse.platform._response_head import read_head
from cicadacourse.reservations import KvCacheClient
from cicadacourse.util.clock import MS_PER_S
from cicadacourse.util.connection import HttpConnection, HttpConnectionError

ORDER_TIMEOUT_S = 0.6
REACHABLE_TIMEOUT_S = 0.4
_OK = 200


@SERVICES.register("direct_memory_client")
class PlatformKvCacheClient(Service, KvCacheClient):
    """Sends each order to an engine on a direct connection of its own."""

    name = "direct_memory_client"

    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_s: float,
        is_renewal: bool = False,
    ) -> Result[None, Error]:
        """Reserves KV-cache tokens; see :meth:`KvCacheClient.reserve`."""
        hold_ms = int(hold_s * MS_PER_S)
        order = {
            "op": "reserve",
            "id": reservation_id,
            "tokens": tokens,
            "holdMs": hold_ms,
        }
        return await self._send_order(endpoint, order)

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Result[None, Error]:
        """Releases a reservation; see :meth:`KvCacheClient.release`."""
        return await self._send_order(endpoint, {"op": "release", "id": reservation_id})

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint accepts a connection in time."""
        try:
            connection = await HttpConnection.connect(
                endpoint.address, REACHABLE_TIMEOUT_S
            )
        except HttpConnectionError:
            return False
        connection.close()
        return True

    async def _send_order(
        self, endpoint: Endpoint, order: dict[str, Any]
    ) -> Result[None, Error]:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                head = await _exchange(endpoint, order)
        except (TimeoutError, HttpConnectionError, h11.LocalProtocolError) as error:
            detail = f"no response to the order: {error!r}"
            return Failure(Error(ErrorKind.ENDPOINT_UNREACHABLE, detail))
        self.app.get("eligibility").declines.observe(endpoint, head)
        if head.status == _OK:
            return Success(None)
        return Failure(Error(ErrorKind.ENDPOINT_REFUSED, f"HTTP status {head.status}"))


async def _exchange(endpoint: Endpoint, order: dict[str, Any]) -> ResponseHead:
    connection = await HttpConnection.connect(endpoint.address, ORDER_TIMEOUT_S)
    body = json.dumps(order).encode()
    headers = [
        ("Host", endpoint.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        (names.HEADER_EXPECTED_ENDPOINT, endpoint.id),
    ]
    try:
        connection.send("POST", names.PATH_ORDER, headers, body)
        response = await connection.receive()
        if not isinstance(response, h11.Response):
            raise HttpConnectionError("no response head was received")
        return read_head(response)
    finally:
        connection.close()
