"""Operators' requests to evacuate a failure domain, through the store and its failures.

The instances here run over sockets, before a stand-in of the store and endpoints of two
failure domains.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import AsyncIterator

import attrs
import pytest

from cicadacourse.catalog import CatalogSettings
from cicadacourse.limits import LimitsSettings
from standins.platform import Fleet, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

SETTINGS = (
    CatalogSettings(superseded_bound_ms=1000, evacuation_bound_ms=2000),
    LimitsSettings(cold_overage=1.5),
)
COLD_RATE = 2.0


@attrs.define
class _Deployment:
    fleet: Fleet
    instances: list[Instance]

    async def call(self, count: int = 6, instance: int = 0) -> list[int]:
        """Returns the statuses of some calls through one instance."""
        caller = Caller(self.instances[instance])
        responses = [await caller.request("/look/x") for _ in range(count)]
        return [item.status for item in responses]

    def arrivals(self, failure_domain: str) -> int:
        """Returns how many requests have reached the endpoints of a domain."""
        return sum(
            len(item.worker.arrivals)
            for item in self.fleet.endpoint_by_id.values()
            if item.failure_domain == failure_domain
        )

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether all instances know that a domain is evacuated."""
        return all(
            failure_domain in item.app.get("catalog").evacuations
            for item in self.instances
        )

    async def wait_until_evacuated(self, failure_domain: str) -> None:
        """Waits until all instances know it."""
        await wait_until(lambda: self.is_evacuated(failure_domain))

    async def wait_until_withdrawn(self, failure_domain: str) -> None:
        """Waits until no instance takes a domain for evacuated."""
        await wait_until(
            lambda: not any(
                failure_domain in item.app.get("catalog").evacuations
                for item in self.instances
            )
        )


@contextlib.asynccontextmanager
async def _deployment(instances: int = 1) -> AsyncIterator[_Deployment]:
    async with running_fleet(engines=1, plain_services=1) as fleet:
        fleet.add_plain_service("other", failure_domain="b")
        configuration = make_configuration(2)
        configuration["services"][1]["coldPerS"] = COLD_RATE
        fleet.configure(configuration)
        deployment = _Deployment(fleet, [])
        async with contextlib.AsyncExitStack() as stack:
            for number in range(instances):
                await start_instance(deployment, stack, f"n{number}")
            yield deployment


async def start_instance(
    deployment: _Deployment, stack: contextlib.AsyncExitStack, name: str
) -> Instance:
    """Starts one more instance."""
    seeds = tuple(
        item.app.get("membership").self_member().peer_address
        for item in deployment.instances
    )
    instance = make_instance(
        deployment.fleet, name, next_host(), seeds, sections=SETTINGS
    )
    await stack.enter_async_context(running_instance(instance))
    deployment.instances.append(instance)
    return instance


async def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back() -> None:
    async with _deployment(2) as deployment:
        assert await deployment.call() == [200] * 6
        deployment.fleet.evacuate("b")
        await deployment.wait_until_evacuated("b")
        before = deployment.arrivals("b")
        for number in range(2):
            assert await deployment.call(instance=number) == [200] * 6
        assert deployment.arrivals("b") == before
        deployment.fleet.withdraw_evacuation("b")
        await deployment.wait_until_withdrawn("b")
        deployment.fleet.evacuate("a")
        await deployment.wait_until_evacuated("a")
        assert await deployment.call() == [200] * 6
        assert deployment.arrivals("b") == before + 6


async def test_two_domains_at_once_leave_a_refusal() -> None:
    async with _deployment() as deployment:
        for domain in "ab":
            deployment.fleet.evacuate(domain)
            await deployment.wait_until_evacuated(domain)
        response = await Caller(deployment.instances[0]).request("/look/x")
        assert response.status == 503
        assert b"failure_domain_evacuated" in response.body
        assert float(response.headers["retry-after"]) > 0


@pytest.mark.parametrize("value", [b"{}", b"odd", b'{"unknown": [1]}'])
async def test_an_instance_that_starts_knows_it_before_it_serves(value: bytes) -> None:
    """It got its first requests before it had read the operators' records."""
    async with running_fleet(engines=1, plain_services=1) as fleet:
        fleet.add_plain_service("other", failure_domain="b")
        fleet.store.put("keyed.op", "evacuate/b", value)
        fleet.store.put("keyed.op", "evacuate/", value)
        deployment = _Deployment(fleet, [])
        async with contextlib.AsyncExitStack() as stack:
            await start_instance(deployment, stack, "n0")
            assert await deployment.call(8) == [200] * 8
            assert deployment.arrivals("b") == 0


@pytest.mark.parametrize("outage", ["busy", "reset", "silent"])
async def test_an_evacuation_outlasts_an_outage_of_the_store(outage: str) -> None:
    """What is not confirmed for long must not count as withdrawn."""
    async with _deployment(2) as deployment:
        deployment.fleet.evacuate("b")
        await deployment.wait_until_evacuated("b")
        before = deployment.arrivals("b")
        deployment.fleet.store.faults.outage = outage
        await asyncio.sleep(1.5)
        assert set(await deployment.call()) <= {200, 503}
        assert deployment.is_evacuated("b")
        deployment.fleet.store.faults.outage = ""
        await asyncio.sleep(0.5)
        assert deployment.is_evacuated("b")
        assert await deployment.call() == [200] * 6
        assert deployment.arrivals("b") == before
        deployment.fleet.withdraw_evacuation("b")
        await deployment.wait_until_withdrawn("b")


@pytest.mark.parametrize("is_withdrawal", [False, True])
async def test_an_instance_that_the_store_turns_away_hears_of_it(
    is_withdrawal: bool,
) -> None:
    async with _deployment(2) as deployment:
        if is_withdrawal:
            deployment.fleet.evacuate("b")
            await deployment.wait_until_evacuated("b")
        deployment.fleet.store.faults.affected_hosts = frozenset(
            {deployment.instances[1].host}
        )
        deployment.fleet.store.faults.outage = "busy"
        if is_withdrawal:
            deployment.fleet.withdraw_evacuation("b")
            await deployment.wait_until_withdrawn("b")
        else:
            deployment.fleet.evacuate("b")
            await deployment.wait_until_evacuated("b")


async def test_a_domain_that_comes_back_cold_gets_what_it_bears() -> None:
    async with _deployment(2) as deployment:
        deployment.fleet.evacuate("b")
        await deployment.wait_until_evacuated("b")
        deployment.fleet.withdraw_evacuation("b", cold_s=5.0)
        await deployment.wait_until_withdrawn("b")
        cold = deployment.fleet.endpoint_by_id["other"].worker
        await wait_until(
            lambda: all(
                item.app.get("catalog").cold.has_any for item in deployment.instances
            )
        )
        before = len(cold.arrivals)
        statuses = await asyncio.gather(
            *(deployment.call(20, number) for number in (0, 1) for _ in range(2))
        )
        assert all(set(item) == {200} for item in statuses)
        # One second's worth and what had been granted before.
        assert len(cold.arrivals) - before <= 1.5 * COLD_RATE * 3 + 5


async def test_records_are_not_followed_unless_settings_ask_for_it() -> None:
    async with running_fleet(engines=1, plain_services=1) as fleet:
        fleet.evacuate("a")
        instance = make_instance(fleet, "n0", next_host())
        async with running_instance(instance):
            assert (await Caller(instance).request("/look/x")).status == 200
            assert not instance.app.get("catalog").evacuations.all
