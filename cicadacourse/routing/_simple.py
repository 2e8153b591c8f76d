"""Policies without dispatchers: any endpoint, and the least loaded one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from returns.result import Result, Success

from cicadacourse.endpoints import Endpoint
from cicadacourse.errors import Error
from cicadacourse.routing._model import Grant, Work
from cicadacourse.routing._policy import POLICIES, Policy, no_endpoint
from cicadacourse.tables import Pool
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.application import Application

LOAD_POLL_S = 1.0
LOAD_TIMEOUT_S = 0.5
GRANT_S = 10.0


class DirectPolicy(Policy):
    """A policy that chooses by itself; the engine's own admission decides."""

    async def acquire(
        self, work: Work, pool: Pool, deadline: float, excluded: frozenset[str]
    ) -> Result[Grant, Error]:
        """Grants the endpoint that :meth:`choose` returns."""
        endpoints = self.endpoints(pool, excluded)
        if not endpoints:
            return no_endpoint(pool)
        endpoint = await self.choose(endpoints)
        grant = Grant(
            session=self.new_session(work),
            endpoint=endpoint,
            expires_at=now() + GRANT_S,
            attempt=work.attempt,
        )
        return Success(grant)

    async def choose(self, endpoints: list[Endpoint]) -> Endpoint:
        """Returns one of the endpoints, of which there is at least one."""
        return self.random.choice(endpoints)


@POLICIES.register("naive")
class NaivePolicy(DirectPolicy):
    """Any live endpoint of the pool, first come first served."""


@attrs.define
class _Report:
    """The last load report of an endpoint and when it was asked for."""

    asked_at: float
    kv_used: int = 0
    waiting: int = 0


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(DirectPolicy):
    """The endpoint whose lagging load report shows the least waiting and memory."""

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._reports_by_name: dict[str, _Report] = {}

    async def choose(self, endpoints: list[Endpoint]) -> Endpoint:
        """Returns the endpoint with the lowest report, ties broken at random."""
        await self._refresh(endpoints)
        return min(endpoints, key=lambda endpoint: self._key(endpoint.name))

    def _key(self, name: str) -> tuple[int, int, float]:
        report = self._reports_by_name[name]
        return report.waiting, report.kv_used, self.random.random()

    async def _refresh(self, endpoints: list[Endpoint]) -> None:
        due = [endpoint for endpoint in endpoints if self._is_due(endpoint.name)]
        for endpoint in due:
            report = self._reports_by_name.setdefault(endpoint.name, _Report(now()))
            report.asked_at = now()
        await asyncio.gather(*map(self._poll, due))

    def _is_due(self, name: str) -> bool:
        report = self._reports_by_name.get(name)
        return report is None or now() - report.asked_at >= LOAD_POLL_S

    async def _poll(self, endpoint: Endpoint) -> None:
        client = self.app.get("endpoint_client")
        answer = await client.load(endpoint, LOAD_TIMEOUT_S)
        report = self._reports_by_name[endpoint.name]
        load = answer.value_or(None)
        if load is not None:
            report.kv_used, report.waiting = load.kv_used, load.waiting
