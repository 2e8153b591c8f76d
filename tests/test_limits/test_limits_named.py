"""The limits that endpoints name in their responses, as instances learn them."""

from __future__ import annotations

import contextlib
from typing import Any, AsyncIterator

import attrs
import pytest

from standins.platform import Worker
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
)


@attrs.frozen
class _Site:
    """One instance before one plain service."""

    instance: Instance
    worker: Worker
    caller: Caller

    @property
    def limited_endpoints(self) -> float:
        return self.instance.app.metrics.value("limited_endpoints")


@contextlib.asynccontextmanager
async def _site() -> AsyncIterator[_Site]:
    async with running_fleet(engines=0, plain_services=1) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            worker = fleet.endpoint_by_id["plain-0"].worker
            yield _Site(instance, worker, Caller(instance))


async def test_a_limit_holds_as_long_as_responses_name_it() -> None:
    async with _site() as site:
        site.worker.request_limit = 50.0
        response = await site.caller.request("/look/x")
        assert response.headers["server-limit"] == "50.0"
        assert site.limited_endpoints == 1
        site.worker.request_limit = None
        await site.caller.request("/look/x")
        assert site.limited_endpoints == 0


@pytest.mark.parametrize("malformed", ["many", "-1", "nan", "inf", ""])
async def test_a_malformed_limit_changes_nothing(malformed: Any) -> None:
    async with _site() as site:
        site.worker.request_limit = 50.0
        await site.caller.request("/look/x")
        site.worker.request_limit = malformed
        response = await site.caller.request("/look/x")
        assert response.status == 200
        assert site.limited_endpoints == 1
