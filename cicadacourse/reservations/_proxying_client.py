"""Orders to engines, sent directly or by another instance.

The expected load is some orders a second for each long prompt. An order that is sent
twice is done once, as it names its reservation, so both ways may be tried.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator, Coroutine, Sequence

from returns.result import Failure, Result, Success

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import CatalogService, Endpoint
from cicadacourse.config import InstanceSettings
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.exchange import SendFailure
from cicadacourse.logs import ORDER_PROXIED, log
from cicadacourse.membership import Member
from cicadacourse.peers import Peers, handles
from cicadacourse.reachability import Reachability
from cicadacourse.reservations._client import KvCacheClient
from cicadacourse.reservations._messages import OrderDone, SendOrder
from cicadacourse.tasks import Tasks

# How long a direct order may take before another instance is asked beside it.
HEAD_START_S = 0.15
PEER_TIMEOUT_S = 0.3
MAX_PEERS_ASKED = 2


@SERVICES.register("memory_client")
class ProxyingKvCacheClient(Service, KvCacheClient):
    """Sends orders over the link of this instance, or of another that has one."""

    name = "memory_client"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._own_name = app.settings.get(InstanceSettings).name
        self._direct: KvCacheClient = app.get("direct_memory_client")
        self._tasks = Tasks(app.metrics, "reservations")

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Cancels the orders that are left when the instance stops."""
        try:
            yield
        finally:
            await self._tasks.cancel()

    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_s: float,
        is_renewal: bool = False,
    ) -> Result[None, Error]:
        """Reserves KV-cache tokens; see :meth:`KvCacheClient.reserve`."""
        if not is_renewal:
            obstacle = self.app.get("eligibility").find_obstacle(endpoint)
            if obstacle is not None:
                return Failure(Error(ErrorKind.ENDPOINT_REFUSED, obstacle.detail))
        message = SendOrder(
            sender=self._own_name,
            endpoint_id=endpoint.id,
            process_key=endpoint.process_key,
            reservation_id=reservation_id,
            tokens=tokens,
            hold_s=hold_s,
            is_renewal=is_renewal,
        )
        return await self._send(
            endpoint,
            message,
            self._direct.reserve(endpoint, reservation_id, tokens, hold_s),
        )

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Result[None, Error]:
        """Releases a reservation; see :meth:`KvCacheClient.release`."""
        message = SendOrder(
            sender=self._own_name,
            endpoint_id=endpoint.id,
            process_key=endpoint.process_key,
            reservation_id=reservation_id,
            is_release=True,
        )
        direct = self._direct.release(endpoint, reservation_id)
        return await self._send(endpoint, message, direct)

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint accepts connections, here or elsewhere."""
        if not self._reachability.is_lost(endpoint):
            if await self._direct.is_reachable(endpoint):
                return True
        return await self._reachability.is_reached_elsewhere(endpoint)

    @handles(SendOrder)
    async def on_order(self, message: SendOrder) -> OrderDone:
        """Sends an order for another instance, over an own link only."""
        catalog_service: CatalogService = self.app.get("catalog")
        endpoint = catalog_service.registry.find(message.endpoint_id)
        if endpoint is None or endpoint.process_key != message.process_key:
            raise _error(ErrorKind.ENDPOINT_REFUSED, "the endpoint is gone")
        if self._reachability.is_lost(endpoint):
            raise _error(ErrorKind.ENDPOINT_UNREACHABLE, "the link is lost here too")
        if message.is_release:
            result = await self._direct.release(endpoint, message.reservation_id)
        else:
            result = await self._reserve_for(endpoint, message)
        if isinstance(result, Failure):
            raise CicadacourseError(result.failure())
        return OrderDone()

    async def _reserve_for(
        self, endpoint: Endpoint, message: SendOrder
    ) -> Result[None, Error]:
        try:
            if not message.is_renewal:
                self.app.get("eligibility").check(endpoint)
        except SendFailure as failure:
            return Failure(Error(ErrorKind.ENDPOINT_REFUSED, failure.detail))
        return await self._direct.reserve(
            endpoint, message.reservation_id, message.tokens, message.hold_s
        )

    async def _send(
        self,
        endpoint: Endpoint,
        message: SendOrder,
        direct: Coroutine[None, None, Result[None, Error]],
    ) -> Result[None, Error]:
        """Sends an order directly, and at other instances if that fails or lasts.

        :param direct: sends the order directly.
        """
        peers: Sequence[Member] = ()
        if self._reachability.may_be_lost(endpoint):
            peers = self._reachability.peers_for(endpoint)
        if peers and self._reachability.is_lost(endpoint):
            direct.close()
            return await self._send_at(peers, endpoint, message)
        tasks = [self._tasks.start(direct)]
        try:
            await asyncio.wait(tasks, timeout=0 if peers else HEAD_START_S)
            if not tasks[0].done() or _is_unreachable(tasks[0].result()):
                peers = peers or self._reachability.peers_for(endpoint)
                at_peers = self._send_at(peers, endpoint, message)
                tasks.append(self._tasks.start(at_peers))
            return await _first_definite(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _send_at(
        self, peers: Sequence[Member], endpoint: Endpoint, message: SendOrder
    ) -> Result[None, Error]:
        """Has an order sent by the first instance that reaches the endpoint."""
        service: Peers = self.app.get("peers")
        for peer in peers[:MAX_PEERS_ASKED]:
            result = await service.call(peer.peer_address, message, PEER_TIMEOUT_S)
            reason = result.failure().label if isinstance(result, Failure) else None
            log(
                ORDER_PROXIED,
                endpoint=endpoint.id,
                ticket=message.reservation_id,
                peer=peer.name,
                is_release=message.is_release,
                reason=reason,
            )
            match result:
                case Success(_):
                    return Success(None)
                case Failure(Error(kind=ErrorKind.ENDPOINT_REFUSED) as error):
                    return Failure(error)
        detail = "neither this instance nor any that it asked could send the order"
        return Failure(Error(ErrorKind.ENDPOINT_UNREACHABLE, detail))

    @property
    def _reachability(self) -> Reachability:
        return self.app.get("reachability")


async def _first_definite(
    tasks: Sequence[asyncio.Task[Result[None, Error]]],
) -> Result[None, Error]:
    """Returns the first result of an engine, or that of the last task."""
    for earliest in asyncio.as_completed(tasks):
        result = await earliest
        if not _is_unreachable(result):
            break
    return result


def _is_unreachable(result: Result[None, Error]) -> bool:
    """Returns whether an order may not have reached its engine."""
    if isinstance(result, Success):
        return False
    return result.failure().kind is not ErrorKind.ENDPOINT_REFUSED


def _error(kind: ErrorKind, detail: str) -> CicadacourseError:
    return CicadacourseError(Error(kind, detail))
