"""Tests of requests that arrive while the configuration may be out of date."""

from __future__ import annotations

import pytest

from cicadacourse.events import CATALOG_VERSION_RECEIVED
from standins.platform import StoreFaults
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    make_instance,
    running_fleet,
    running_instance,
)


def report_newer_version(instance: Instance) -> None:
    """Reports a newer version that the instance can't fetch from anyone."""
    instance.app.events.emit(CATALOG_VERSION_RECEIVED, "unreachable", 2)


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/nowhere/x", "k-acme", 404), ("/book/x", "new", 401)]
)
async def test_a_request_is_not_denied_by_a_configuration_known_to_be_superseded(
    path: str, key: str, status: int
) -> None:
    """Proper requests were answered 404 and 401 by instances versions behind.

    These knew from the others' reports that newer versions existed.
    """
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            assert (await caller.request(path, key=key)).status == status
            fleet.store.faults = StoreFaults(outage="silent")
            report_newer_version(instance)
            response = await caller.request(path, key=key)
            assert response.status == 503
            assert float(response.headers["retry-after"]) < 1.0
