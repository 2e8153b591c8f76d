"""Lost links to endpoints at 1, 6 and 80 instances, and where no way is left."""

from __future__ import annotations

from typing import Sequence

import pytest

from tests.endpoint_links import LinkFault
from tests.gateway_cluster import gateway_cluster
from tests.simulated_endpoints import UNAVAILABLE
from tests.test_gateway.test_gateway_lost_links import (
    FirstTry,
    check_first_tries,
    cut_off_for,
    make_pools,
    served_share,
)
from tests.test_gateway.test_gateway_silence import run, took_s

FEW = 6
MANY = 80
FAILURE_DOMAINS = 3
# A caller that is refused within this time can still be served in time elsewhere.
AT_ONCE_S = 0.15
LOW_RATE = 20.0
MANY_RATE = 160.0
MANY_CUT_S = 5.0


def check_refused_at_once(tries: Sequence[FirstTry]) -> None:
    """Checks that each request was served, or refused at once with a Retry-After."""
    assert len(tries) > 50
    for item in tries:
        if item.is_served:
            continue
        assert item.reply.status == UNAVAILABLE, item
        assert item.reply.error is not None
        assert item.reply.error.retry_after_s is not None
        assert took_s(item.reply) <= AT_ONCE_S, (item, item.reply.error)


async def _without_any_way(instances: int, fault: LinkFault) -> None:
    async with gateway_cluster(instances, make_pools()) as cluster:
        names = sorted(cluster.memory.application_by_name)
        during, after = await cut_off_for(cluster, names, fault, rate=LOW_RATE)
    check_refused_at_once(during)
    assert served_share(after) == 1.0


@pytest.mark.parametrize("fault", list(LinkFault))
@pytest.mark.parametrize("instances", [1, FEW])
def test_instances_without_any_way_to_endpoints_refuse_at_once(
    instances: int, fault: LinkFault
) -> None:
    run(_without_any_way, instances, fault)


async def _all_but_one(fault: LinkFault) -> None:
    async with gateway_cluster(FEW, make_pools()) as cluster:
        cut_off = sorted(cluster.memory.application_by_name)[1:]
        during, after = await cut_off_for(cluster, cut_off, fault, rate=LOW_RATE)
    check_first_tries(during, cut_off)
    assert served_share(after) == 1.0


@pytest.mark.parametrize("fault", list(LinkFault))
def test_one_instance_with_links_serves_for_all_others(fault: LinkFault) -> None:
    run(_all_but_one, fault)


async def _domain_of_many() -> None:
    async with gateway_cluster(MANY, make_pools()) as cluster:
        cut_off = [f"n{number}" for number in range(0, MANY, FAILURE_DOMAINS)]
        assert {cluster.memory.failure_domain(name) for name in cut_off} == {"a"}
        during, after = await cut_off_for(
            cluster, cut_off, LinkFault.HANG, seconds=MANY_CUT_S, rate=MANY_RATE
        )
    check_first_tries(during, cut_off)
    assert served_share(after) == 1.0


def test_a_failure_domain_of_eighty_instances_serves_first_tries() -> None:
    run(_domain_of_many)
