"""Requests that have begun, while their pool accepts none for a moment.

The entries of a pool may lapse or be replaced all at the same time. A stream that was
to be resumed then, or a request that was to be tried again, ended at once, although an
endpoint was back long before its time was over.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from cicadacourse.catalog import Endpoint
from cicadacourse.exchange import ResponseHead
from cicadacourse.util.clock import now
from tests.test_gateway.test_gateway_configuration_changes import (
    AT_ONCE_S,
    CHANGE_S,
    TIMEOUT_S,
    Instance,
    _simulate,
)
from tests.test_gateway.test_gateway_histories import EVENTS, OK

EMPTY_S = 1.2
# The path of a request, and how an endpoint ends its first exchange.
BEGUN = [("ask", "cut"), ("ask", "reset"), ("look", "reset")]


def _empty(instance: Instance) -> list[Endpoint]:
    """Removes all endpoints and returns them."""
    endpoints = instance.app.get("catalog").registry.all()
    for pool in ("engines", "plain"):
        instance.remove_endpoints(pool)
    return endpoints


async def _begin(path: str, fault: str) -> tuple[Instance, asyncio.Task, list]:
    """Returns an instance, its only request and its endpoints, which are gone."""
    instance = Instance()
    instance.show_fault(fault)
    task = instance.start(path)
    await asyncio.sleep(CHANGE_S)
    endpoints = _empty(instance)
    instance.client.fault_by_endpoint.clear()
    return instance, task, endpoints


@pytest.mark.parametrize("is_replaced", [False, True])
@pytest.mark.parametrize(("path", "fault"), BEGUN)
def test_a_request_that_has_begun_outlasts_an_empty_pool(
    path: str, fault: str, is_replaced: bool
) -> None:
    async def scenario() -> None:
        instance, task, endpoints = await _begin(path, fault)
        await asyncio.sleep(EMPTY_S)
        assert not task.done()
        for endpoint in endpoints:
            if is_replaced:
                endpoint = attrs.evolve(endpoint, id=f"{endpoint.id}-r")
            instance.register(endpoint)
        reply = await task
        assert (reply.status, reply.is_complete) == (OK, True)
        if path == "ask":
            assert reply.body.count(b"data:") == EVENTS

    _simulate(scenario)


@pytest.mark.parametrize(("path", "fault"), BEGUN)
def test_a_request_moves_that_waits_for_an_empty_pool(path: str, fault: str) -> None:
    async def scenario() -> None:
        instance, task, _ = await _begin(path, fault)
        await asyncio.sleep(EMPTY_S)
        instance.move_routes()
        changed_at = now()
        reply = await task
        assert (reply.status, reply.is_complete) == (OK, True)
        assert now() - changed_at < AT_ONCE_S + EVENTS * 0.05

    _simulate(scenario)


@pytest.mark.parametrize(("path", "fault"), BEGUN)
def test_a_request_that_has_begun_ends_if_its_pool_stays_empty(
    path: str, fault: str
) -> None:
    async def scenario() -> None:
        _, task, _ = await _begin(path, fault)
        reply = await task
        assert (reply.status, reply.is_complete) in [(502, True), (OK, False)]
        assert now() < 0.6 * TIMEOUT_S

    _simulate(scenario)


@pytest.mark.parametrize(("path", "fault"), BEGUN)
def test_a_request_that_has_begun_outlasts_endpoints_that_decline(
    path: str, fault: str
) -> None:
    async def scenario() -> None:
        instance = Instance()
        instance.show_fault(fault)
        task = instance.start(path)
        await asyncio.sleep(CHANGE_S)
        head = ResponseHead(503, (), never_ran=True, retry_after_s=EMPTY_S)
        for endpoint in instance.app.get("catalog").registry.all():
            instance.app.get("eligibility").declines.observe(endpoint, head)
        instance.client.fault_by_endpoint.clear()
        reply = await task
        assert (reply.status, reply.is_complete) == (OK, True)

    _simulate(scenario)


@pytest.mark.parametrize("path", ["ask", "look", "book"])
def test_a_request_that_did_not_run_is_refused_at_once_for_an_empty_pool(
    path: str,
) -> None:
    """Its caller may try elsewhere."""

    async def scenario() -> None:
        instance = Instance()
        _empty(instance)
        assert (await instance.start(path)).status == 503
        assert now() < AT_ONCE_S

    _simulate(scenario)


@pytest.mark.parametrize(("path", "fault"), BEGUN)
def test_a_wait_for_an_empty_pool_ends_with_its_caller(path: str, fault: str) -> None:
    async def scenario() -> None:
        instance, task, endpoints = await _begin(path, fault)
        await asyncio.sleep(EMPTY_S)
        assert not task.done()
        instance.replies[-1].caller_disconnected.set()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        sent = list(instance.client.sent_to)
        for endpoint in endpoints:
            instance.register(endpoint)
        await asyncio.sleep(EMPTY_S)
        assert instance.client.sent_to == sent
        assert not instance.client.in_progress
        assert not instance.app.get("load").table.own_assignments()

    _simulate(scenario)
