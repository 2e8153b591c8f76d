"""Who is blamed for a crash, and what clears it."""

from __future__ import annotations

import asyncio

import pytest

from cicadacourse.exchange import ResponseHead
from cicadacourse.quarantine import Quarantine, RequestKeys
from cicadacourse.util.clock import now
from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import make_endpoints
from tests.test_limits.test_limits_cluster import run

KEYS = RequestKeys(digest="d")
(KEY,) = KEYS.request


class Tries:
    """Finds the process gone in some of the tries only."""

    def __init__(self, *outcomes: bool) -> None:
        self._outcomes = list(outcomes)

    async def is_process_gone(self, endpoint: object) -> bool:
        return self._outcomes.pop(0)


async def _service(check) -> None:
    async with gateway_cluster(1, make_endpoints(1, "plain")) as cluster:
        (service,) = cluster.memory.services("quarantine")
        (endpoint,) = cluster.endpoint_by_id.values()
        await check(service, endpoint.endpoint)


@pytest.mark.parametrize("lucky_tries", [0, 1, 2])
def test_blame_does_not_depend_on_one_lucky_connection(lucky_tries: int) -> None:
    """A packet is lost, or a process that ends still accepts a connection."""

    async def check(service: Quarantine, endpoint) -> None:
        client = Tries(*[False] * lucky_tries, True)
        await service.check_crash(client, endpoint, KEYS, has_begun=False)
        await asyncio.sleep(1.0)
        assert service.is_suspected(KEY)

    run(_service, check)


def test_an_endpoint_that_lives_blames_nothing_and_delays_no_retry() -> None:
    async def check(service: Quarantine, endpoint) -> None:
        started = now()
        client = Tries(*[False] * 3)
        await service.check_crash(client, endpoint, KEYS, has_begun=False)
        assert now() - started <= 0.11
        await asyncio.sleep(1.0)
        assert not service.is_suspected(KEY)

    run(_service, check)


def test_a_caller_that_leaves_during_the_check_is_blamed_nevertheless() -> None:
    async def check(service: Quarantine, endpoint) -> None:
        client = Tries(False, True)
        task = asyncio.create_task(
            service.check_crash(client, endpoint, KEYS, has_begun=False)
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(1.0)
        assert service.is_suspected(KEY)

    run(_service, check)


@pytest.mark.parametrize(
    ("head", "is_cleared"),
    [
        (ResponseHead(200, ()), True),
        (ResponseHead(404, ()), True),
        (ResponseHead(408, ()), False),
        (ResponseHead(421, (), never_ran=True, is_misdirected=True), False),
        (ResponseHead(429, ()), False),
        (ResponseHead(500, ()), False),
        (ResponseHead(503, (), never_ran=True), False),
    ],
)
def test_only_a_response_of_an_endpoint_that_ran_it_clears_a_request(
    head: ResponseHead, is_cleared: bool
) -> None:
    async def check(service: Quarantine, endpoint) -> None:
        service.record_crash(endpoint, KEYS, has_begun=False)
        await asyncio.sleep(0.1)
        assert service.is_suspected(KEY)
        service.record_response(KEYS, head)
        await asyncio.sleep(0.1)
        assert service.is_suspected(KEY) is not is_cleared

    run(_service, check)


async def _ended() -> None:
    async with gateway_cluster(6, make_endpoints(6, "plain")) as cluster:
        endpoint, *_ = cluster.endpoint_by_id.values()
        endpoint.is_fatal = lambda _: True
        while not cluster.crashed_at:
            await cluster.send("n0", "book", body=str(now()).encode())
        await asyncio.sleep(0.1)
        for placer in cluster.memory.services("placement"):
            assert placer.health.is_ejected(endpoint.endpoint.id, now())


def test_an_endpoint_that_has_ended_is_left_out_by_all_instances() -> None:
    """Each instance found out by a connection of its own that was refused."""
    run(_ended)
