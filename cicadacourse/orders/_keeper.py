"""Brings one endpoint to the state that its pool asks for."""

from __future__ import annotations

import asyncio
import random

import attrs
from returns.result import Failure, Success

from cicadacourse.endpoints import Endpoint, EndpointClient, EngineState, Order
from cicadacourse.errors import ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.orders._holder import LeaseHolder
from cicadacourse.orders._loads import LoadSlots
from cicadacourse.orders._settings import ORDERS, ORDERS_DEFERRED, OrderSettings
from cicadacourse.orders._weight_store import WeightStore
from cicadacourse.tables import Pool
from cicadacourse.util.clock import now
from cicadacourse.util.logging import get_logger

logger = get_logger("orders")


@attrs.frozen
class Target:
    """An endpoint and the pool whose state it must take.

    :param others: the pool's other endpoints.
    :param tables_version: version of the tables that the pool is from.
    """

    endpoint: Endpoint
    pool: Pool
    others: tuple[Endpoint, ...]
    tables_version: int

    def is_served_by(self, state: EngineState) -> bool:
        """Whether an engine in that state needs no order."""
        return not self.needs_load(state) and state.role == self.pool.role

    def needs_load(self, state: EngineState) -> bool:
        """Whether the engine has to load a model, a version or an adapter."""
        wanted = (self.pool.model, self.pool.model_version, self.pool.adapter)
        return wanted != (state.model, state.model_version, state.adapter)

    def needs_weights(self, state: EngineState) -> bool:
        """Whether the load takes a model from the weight store."""
        wanted = (self.pool.model, self.pool.model_version)
        return wanted != (state.model, state.model_version)


@attrs.define
class Tools:
    """What every keeper of an instance works with.

    :param weights_from: when the weight store may be asked again, loop time.
    """

    client: EndpointClient
    weights: WeightStore
    leases: LeaseHolder
    slots: LoadSlots
    settings: OrderSettings
    metrics: Metrics
    rng: random.Random
    weights_from: float = float("-inf")


class EndpointKeeper:
    """Compares an endpoint's state with its target and orders the difference."""

    def __init__(self, target: Target, tools: Tools) -> None:
        self.target = target
        self._tools = tools
        self._name = target.endpoint.name

    async def keep(self) -> None:
        """Checks the endpoint again and again until cancelled."""
        try:
            while True:
                await self.check()
                check_s = self._tools.settings.check_s
                await asyncio.sleep(check_s * (0.8 + 0.4 * self._tools.rng.random()))
        finally:
            self._tools.slots.release(self._name)

    async def check(self) -> None:
        """Reads the endpoint's state and orders what it lacks, if it may."""
        timeout_s = self._tools.settings.order_timeout_s
        if self._get_token(timeout_s) is None:
            return
        target = self.target
        match await self._tools.client.state(target.endpoint, timeout_s):
            case Success(EngineState(loading=True)):
                return self._defer("loading")
            case Success(state) if target.is_served_by(state):
                return self._tools.slots.release(self._name)
            case Success(state):
                await self._order_if_allowed(target, state)
            case Failure(error):
                self._defer(f"state_{error.label}")

    async def _order_if_allowed(self, target: Target, state: EngineState) -> None:
        if target.needs_load(state) and not await self._may_load(target, state):
            return
        await self._order(target)

    async def _order(self, target: Target) -> None:
        """Sends the order; the lease is checked with nothing awaited in between."""
        timeout_s = self._tools.settings.order_timeout_s
        token = self._get_token(timeout_s)
        if token is None:
            return
        if target != self.target:
            return self._defer("target_changed")
        if target.tables_version < self._tools.leases.view.fold.tables_version:
            return self._defer("tables_behind")
        order = Order(
            token=token,
            holder=self._tools.leases.holder,
            model=target.pool.model,
            model_version=target.pool.model_version,
            adapter=target.pool.adapter,
            role=target.pool.role,
        )
        result = await self._tools.client.order(target.endpoint, order, timeout_s)
        match result:
            case Failure(error):
                self._tools.metrics.count(ORDERS, outcome=error.label)
                if error.kind is ErrorKind.FENCED:
                    logger.warning("{} refused token {}", self._name, token)
            case _:
                self._tools.metrics.count(ORDERS, outcome="ok")
                logger.info("{} ordered with token {}", self._name, token)

    async def _may_load(self, target: Target, state: EngineState) -> bool:
        """Whether a load may begin: a slot, enough others serving, and weights."""
        settings = self._tools.settings
        slots = max(1, min(settings.loads_per_pool, len(target.others)))
        needed_s = settings.order_timeout_s
        pool_name = target.endpoint.pool
        if not self._tools.slots.acquire(self._name, pool_name, slots, needed_s):
            return self._refuse("load_slot")
        if target.others and not await self._are_serving(target.others, slots):
            return self._refuse("last_serving")
        if target.needs_weights(state) and not await self._may_fetch(target.pool):
            return self._refuse("weight_store")
        if not self._tools.slots.acquire(self._name, pool_name, slots, needed_s):
            return self._refuse("load_slot")
        return True

    async def _are_serving(self, others: tuple[Endpoint, ...], needed: int) -> bool:
        """Whether that many other endpoints serve.

        The other slots' loads may begin meanwhile, so one serving endpoint per slot
        leaves one when all slots are taken.
        """
        serving = 0
        for endpoint in self._tools.rng.sample(others, len(others)):
            timeout_s = self._tools.settings.order_timeout_s
            match await self._tools.client.state(endpoint, timeout_s):
                case Success(EngineState(loading=False)):
                    serving += 1
            if serving >= needed:
                return True
        return False

    async def _may_fetch(self, pool: Pool) -> bool:
        """Asks the weight store, unless it said to come back later."""
        if now() < self._tools.weights_from:
            return False
        timeout_s = self._tools.settings.order_timeout_s
        result = await self._tools.weights.ask(
            pool.model, pool.model_version, timeout_s
        )
        match result:
            case Failure(error):
                wait_s = error.retry_after_s or self._tools.settings.check_s
                jitter = 1 + self._tools.rng.random()
                self._tools.weights_from = now() + wait_s * jitter
                return False
        return True

    def _get_token(self, needed_s: float) -> int | None:
        token = self._tools.leases.token(self._name, needed_s)
        if token is None:
            self._defer("no_lease")
        return token

    def _refuse(self, reason: str) -> bool:
        self._defer(reason)
        return False

    def _defer(self, reason: str) -> None:
        self._tools.metrics.count(ORDERS_DEFERRED, reason=reason)
