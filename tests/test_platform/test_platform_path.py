"""End-to-end tests over the platform's protocol, from callers to endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import AsyncIterator

import attrs
import capnp
import logbook
import pytest

from cicadacourse.catalog import Endpoint
from cicadacourse.logs import ENDPOINT_EJECTED, ENDPOINT_READMITTED
from cicadacourse.placement import RetryBudget
from cicadacourse.platform import _ingress
from cicadacourse.reservations._service import LEASE_S, RENEW_PERIOD_S
from cicadacourse.util.clock import now
from cicadacourse.util.connection import HttpConnection
from standins.callers import event_ids, read_response
from standins.platform import (
    ENGINE_POOL,
    KEY,
    ORGANISATION,
    PROFILE,
    Engine,
    Fleet,
    RegisteredEndpoint,
    WorkerFaults,
    make_configuration,
)
from standins.ports import next_host
from tests.platform_fleet import (
    Caller,
    Instance,
    fetch,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

STREAM_TOKENS = "5000,230"
STREAM_EVENTS = 5
# Less than is left of a lease that is renewed, so that it can't have expired instead.
RELEASED_WITHIN_S = LEASE_S - RENEW_PERIOD_S - 1.0


@attrs.define
class Deployment:
    """A deployment with one instance and a caller."""

    fleet: Fleet
    instance: Instance
    caller: Caller

    def engines(self) -> list[Engine]:
        """Returns all engines of the fleet."""
        workers = [item.worker for item in self.fleet.endpoint_by_id.values()]
        return [worker.engine for worker in workers if worker.engine is not None]

    def count_runs(self) -> int:
        """Returns how often endpoints ran the caller's last request."""
        return self.fleet.count_runs(self.caller.sent_ids[-1])


@contextlib.asynccontextmanager
async def running_deployment(
    engines: int = 3, plain_services: int = 2
) -> AsyncIterator[Deployment]:
    """Runs a deployment with one instance, which is ready, and a caller."""
    async with running_fleet(engines, plain_services) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            yield Deployment(fleet, instance, Caller(instance))


async def test_forwards_a_whole_stream_with_the_endpoints_signature() -> None:
    async with running_deployment() as deployment:
        response = await deployment.caller.request("/ask/x", STREAM_TOKENS)
        assert (response.status, response.is_complete) == (200, True)
        assert event_ids(response.body) == list(range(STREAM_EVENTS))
        request_id = deployment.caller.sent_ids[-1]
        assert response.headers["x-cicadacourse-server-seal"].endswith(request_id)
        assert deployment.count_runs() == 1


async def test_forwards_a_call_with_the_organisation_in_place_of_the_key() -> None:
    async with running_deployment() as deployment:
        response = await deployment.caller.request(
            "/book/x", method="POST", X_Cicadacourse_Tenant="someone-else"
        )
        request_id = deployment.caller.sent_ids[-1]
        assert response.body == f"answer to {request_id}".encode()
        organisations = [
            item.worker.organisation_by_request.get(request_id)
            for item in deployment.fleet.endpoint_by_id.values()
        ]
        assert ORGANISATION in organisations
        assert "someone-else" not in organisations


async def test_refuses_unknown_keys_and_routes() -> None:
    async with running_deployment() as deployment:
        assert (await deployment.caller.request("/book/x", key="wrong")).status == 401
        assert (await deployment.caller.request("/book/x", key=None)).status == 401
        assert (await deployment.caller.request("/nowhere/x")).status == 404
        assert deployment.count_runs() == 0


async def test_refuses_a_body_above_the_configured_limit_before_it_runs() -> None:
    async with running_deployment() as deployment:
        deployment.fleet.configure(make_configuration(2, limits={"maxBodyBytes": 4000}))
        catalog = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        response = await deployment.caller.request("/book/1", body=bytes(4001))
        assert response.status == 413
        assert deployment.count_runs() == 0
        assert (
            await deployment.caller.request("/book/1", body=bytes(4000))
        ).status == 200


async def test_refuses_headers_above_the_configured_limit_before_it_runs() -> None:
    async with running_deployment() as deployment:
        deployment.fleet.configure(
            make_configuration(2, limits={"maxHeaderBytes": 600})
        )
        catalog = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        response = await deployment.caller.request("/book/1", X_Long="x" * 600)
        assert response.status == 431
        assert deployment.count_runs() == 0
        assert (await deployment.caller.request("/book/1")).status == 200


async def test_closes_a_connection_that_is_idle_for_longer_than_configured(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_ingress, "IDLE_MARGIN_S", 0.05)
    limits = {"idleTimeoutMs": 100, "headerTimeoutMs": 100}
    async with running_deployment() as deployment:
        deployment.fleet.configure(make_configuration(2, limits=limits))
        catalog = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        reader, writer = await deployment.caller.open("/book/1")
        assert (await read_response(reader)).status == 200
        assert await reader.read() == b""
        writer.close()


async def test_answers_a_malformed_prompt_size_and_serves_on() -> None:
    async with running_deployment() as deployment:
        assert (await deployment.caller.request("/ask/x", "many,few")).status == 400
        assert (await deployment.caller.request("/ask/x", STREAM_TOKENS)).status == 200


async def test_serves_a_request_with_a_malformed_length_hint() -> None:
    async with running_deployment() as deployment:
        length_hint = {"X-Cicadacourse-Length-Hint": "many"}
        response = await deployment.caller.request(
            "/ask/x", STREAM_TOKENS, **length_hint
        )
        assert response.status == 200


async def test_does_not_retry_an_unsafe_request_whose_response_is_lost() -> None:
    async with running_deployment() as deployment:
        for endpoint in deployment.fleet.endpoint_by_id.values():
            endpoint.worker.faults = WorkerFaults(reset_rate=1.0)
        response = await deployment.caller.request("/book/x")
        assert response.status == 502
        assert "retry-after" not in response.headers
        assert deployment.count_runs() == 1


async def test_retries_a_safe_request_elsewhere_when_its_response_is_lost() -> None:
    async with running_deployment() as deployment:
        faulty = deployment.fleet.endpoint_by_id["plain-0"].worker
        faulty.faults = WorkerFaults(reset_rate=1.0)
        for _ in range(4):
            response = await deployment.caller.request(
                "/look/x", method="GET", body=b""
            )
            assert response.status == 200


async def test_resumes_a_broken_stream_without_losing_or_repeating_events() -> None:
    async with running_deployment() as deployment:
        for endpoint in deployment.fleet.endpoint_by_id.values():
            if endpoint.pool == ENGINE_POOL:
                endpoint.worker.faults = WorkerFaults(cut_rate=0.5)
                endpoint.worker.random.seed(endpoint.worker.id)
        for _ in range(4):
            response = await deployment.caller.request("/ask/x", STREAM_TOKENS)
            ids = event_ids(response.body)
            assert ids == list(range(len(ids)))
            assert response.is_complete == (len(ids) == STREAM_EVENTS)
            assert deployment.count_runs() <= 2


async def test_never_ends_a_stream_as_complete_that_no_endpoint_completes() -> None:
    async with running_deployment() as deployment:
        for endpoint in deployment.fleet.endpoint_by_id.values():
            endpoint.worker.faults = WorkerFaults(cut_rate=1.0)
        response = await deployment.caller.request("/ask/x", "5000,400")
        assert not response.is_complete
        assert event_ids(response.body) == [0, 1, 2, 3]


async def test_cancels_the_endpoints_work_when_the_caller_disconnects() -> None:
    async with running_deployment() as deployment:
        _, writer = await deployment.caller.open(
            "/ask/x", "5000,40000", timeout_ms=60000
        )
        workers = [item.worker for item in deployment.fleet.endpoint_by_id.values()]
        await wait_until(lambda: any(item.in_progress for item in workers))
        writer.close()
        await wait_until(lambda: not any(item.in_progress for item in workers))
        await wait_until(
            lambda: not deployment.instance.app.get("load").table.own_assignments()
        )


async def test_drops_a_connection_that_carries_a_second_response() -> None:
    async with running_deployment(plain_services=1) as deployment:
        deployment.fleet.endpoint_by_id["plain-0"].worker.faults = WorkerFaults(
            extra_response_rate=1.0
        )
        for _ in range(5):
            response = await deployment.caller.request("/book/x")
            assert (
                response.body == f"answer to {deployment.caller.sent_ids[-1]}".encode()
            )


async def test_reserves_kv_cache_at_several_engines_and_releases_it() -> None:
    async with running_deployment(engines=8) as deployment:
        engines = deployment.engines()
        response = asyncio.create_task(deployment.caller.request("/ask/x", "460000,92"))
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        assert (await response).is_complete
        await wait_until(lambda: not any(engine.reserved_tokens for engine in engines))


async def test_releases_all_reservations_when_the_caller_disconnects() -> None:
    async with running_deployment(engines=8) as deployment:
        engines = deployment.engines()
        _, writer = await deployment.caller.open("/ask/x", "500000,92")
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        writer.close()
        await wait_until(lambda: not any(engine.reserved_tokens for engine in engines))


async def test_releases_all_reservations_when_the_decode_engine_dies() -> None:
    """Reservations of a dead decode engine were renewed until the caller's timeout."""
    async with running_deployment(engines=8) as deployment:
        configuration = make_configuration(2)
        configuration["routes"][0] |= {"timeoutMs": 60000, "targetLatencyMs": 30000}
        deployment.fleet.configure(configuration)
        catalog_service = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog_service.catalog.version == 2)
        engines = deployment.engines()
        for engine in engines:
            engine.fault = "dead"
        deployment.instance.app.get("memory_client").is_reachable = _is_unreachable
        reader, writer = await deployment.caller.open(
            "/ask/x", "460000,92", timeout_ms=60000
        )
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        await wait_until(lambda: any(engine.in_progress for engine in engines))
        first_ids = _reservation_ids(engines)
        assert first_ids
        metrics = deployment.instance.app.metrics
        name, reason = "attempt_failures_total", "connection_broken"
        await wait_until(lambda: metrics.value(name, reason=reason) == 1)
        failed_at = now()
        await wait_until(lambda: not first_ids & _reservation_ids(engines))
        assert now() - failed_at < RELEASED_WITHIN_S
        # The second attempt, at another dead engine, ends in the same way.
        assert (await read_response(reader)).status == 502
        ended_at = now()
        await wait_until(lambda: not _reservation_ids(engines))
        assert now() - ended_at < RELEASED_WITHIN_S
        assert metrics.value(name, reason=reason) == 2
        writer.close()


def _reservation_ids(engines: list[Engine]) -> set[str]:
    return set().union(*(engine.reservation_ids for engine in engines))


async def _is_unreachable(_: object) -> bool:
    return False


async def test_refuses_a_prompt_when_engines_refuse_the_reservations() -> None:
    async with running_deployment(engines=4) as deployment:
        engines = deployment.engines()
        for engine in engines:
            assert engine.reserve("someone-else", 440_000, 60.0)
        response = await deployment.caller.request("/ask/x", "600000,92")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert deployment.count_runs() == 0
        await wait_until(
            lambda: all(item.reserved_tokens == 440_000 for item in engines)
        )


async def test_refuses_a_prompt_that_exceeds_the_kv_cache_of_the_pool() -> None:
    async with running_deployment(engines=1) as deployment:
        response = await deployment.caller.request(
            "/ask/x", "900000,92", timeout_ms=400
        )
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert deployment.count_runs() == 0


async def test_refuses_at_once_a_prompt_whose_prefill_misses_the_deadline() -> None:
    async with running_deployment(engines=2) as deployment:
        started = now()
        response = await deployment.caller.request(
            "/ask/x", "400000,46", timeout_ms=1500
        )
        assert response.status == 503
        assert "retry-after" in response.headers
        assert now() - started < 0.5
        assert deployment.count_runs() == 0


async def test_splits_a_long_prefill_so_that_inter_token_gaps_stay_short() -> None:
    async with running_deployment(engines=4) as deployment:
        short = asyncio.create_task(deployment.caller.request("/ask/x", "2000,1800"))
        await wait_until(
            lambda: deployment.instance.app.get("load").table.own_assignments()
        )
        response = await deployment.caller.request("/ask/x", "100000,92")
        assert response.is_complete
        assert (await short).is_complete
        decode_engine = next(
            item.worker.engine
            for item in deployment.fleet.endpoint_by_id.values()
            if item.worker.runs_by_request[deployment.caller.sent_ids[0]]
        )
        assert decode_engine.longest_pass_s < 0.2


async def test_readmits_an_ejected_endpoint_and_logs_it() -> None:
    with logbook.TestHandler() as handler:
        async with running_deployment(engines=1) as deployment:
            placer = deployment.instance.app.get("placement")
            placer.report_refusal("engine-0")
            assert handler.has_warning(ENDPOINT_EJECTED.text)
            await wait_until(lambda: handler.has_info(ENDPOINT_READMITTED.text))
            assert not placer.health.is_ejected("engine-0", now())


async def test_sends_no_requests_to_a_leaving_endpoint() -> None:
    async with running_deployment(plain_services=2) as deployment:
        endpoint = deployment.fleet.endpoint_by_id["plain-0"]
        endpoint.state = "draining"
        deployment.fleet.register(endpoint)
        registry = deployment.instance.app.get("catalog").registry
        await wait_until(lambda: len(registry.ready("plain")) == 1)
        for _ in range(4):
            assert (await deployment.caller.request("/book/x")).status == 200
        assert not endpoint.worker.runs_by_request


@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
@pytest.mark.parametrize("is_removed", [False, True])
async def test_sends_nothing_to_an_endpoint_that_leaves_while_it_is_connected_to(
    monkeypatch: pytest.MonkeyPatch, path: str, is_removed: bool
) -> None:
    """The request goes elsewhere and uses neither an attempt nor the retry budget."""
    async with running_deployment(plain_services=2) as deployment:
        app, fleet = deployment.instance.app, deployment.fleet
        registry = app.get("catalog").registry
        client = app.get("endpoint_connector")
        connect = client._open
        left: list[RegisteredEndpoint] = []

        async def leave_and_connect(endpoint: Endpoint) -> HttpConnection:
            if not left:
                left.append(fleet.endpoint_by_id[endpoint.id])
                if is_removed:
                    fleet.remove(endpoint.id)
                else:
                    left[0].state = "draining"
                    fleet.register(left[0])
                await wait_until(lambda: len(registry.ready("plain")) == 1)
            return await connect(endpoint)

        monkeypatch.setattr(client, "_open", leave_and_connect)
        monkeypatch.setattr(RetryBudget, "try_acquire_retry", lambda *_: False)
        response = await deployment.caller.request(path)
        assert response.status == 200
        assert not left[0].worker.runs_by_request
        metrics = app.metrics
        assert metrics.value("attempt_failures_total", reason="endpoint_leaving") == 1
        assert not app.get("placement").health.is_ejected(left[0].worker.id, now())


async def test_never_sends_to_another_endpoint_at_a_reused_address() -> None:
    async with running_deployment(plain_services=1) as deployment:
        endpoint = deployment.fleet.endpoint_by_id["plain-0"]
        endpoint.worker.id = "someone-else"
        response = await deployment.caller.request("/book/x")
        assert response.status == 503
        assert deployment.count_runs() == 0


async def test_answers_503_and_is_not_ready_before_the_first_configuration() -> None:
    fleet = Fleet(next_host())
    async with capnp.kj_loop(), fleet.running():
        fleet.add_plain_service("plain-0")
        instance = make_instance(fleet, "one", next_host())
        async with instance.app.running():
            caller = Caller(instance)
            assert (await caller.request("/book/x")).status == 503
            ready = await fetch(instance.host, instance.ready_port, "/api/ready")
            assert ready.status == 503
            fleet.configure(make_configuration())
            await wait_until(instance.app.get("probes").is_ready)
            assert (await caller.request("/book/x")).status == 200


async def test_look_ups_return_the_instances() -> None:
    async with running_deployment() as deployment:
        response = await fetch(
            deployment.instance.host,
            deployment.instance.directory_port,
            "/api/resolve?zone=a",
        )
        row = json.loads(response.body)
        own = f"{deployment.instance.host}:{deployment.instance.caller_port}"
        assert row["addresses"] == [own]
        assert 0 < row["ttlS"] <= 5


async def test_a_leaving_instance_finishes_streams_and_leaves_the_look_ups() -> None:
    async with running_fleet() as fleet:
        first = make_instance(fleet, "one", next_host())
        second = make_instance(
            fleet, "two", next_host(), seeds=(f"{first.host}:{first.caller_port}",)
        )
        async with running_instance(first), running_instance(second):
            membership = second.app.get("membership")
            await wait_until(lambda: len(membership.members()) == 2)
            stream = asyncio.create_task(Caller(first).request("/ask/x", "5000,900"))
            await wait_until(lambda: first.app.get("load").table.own_assignments())
            leaving = asyncio.create_task(first.app.get("ingress").leave())
            await wait_until(lambda: len(second.app.get("probes").addresses("a")) == 1)
            late = await Caller(first).request("/book/x")
            assert (late.status, late.headers["connection"]) == (200, "close")
            assert (await stream).is_complete
            await leaving


async def test_a_leaving_instance_refuses_requests_that_it_could_not_finish() -> None:
    """Requests that arrived late were accepted, and cut when the shutdown timed out."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            stream = asyncio.create_task(caller.request("/ask/x", "5000,2300"))
            await wait_until(lambda: instance.app.get("load").table.own_assignments())
            reader, writer = await caller.open("/book/x")
            assert (await read_response(reader)).status == 200
            leaving = asyncio.create_task(instance.app.get("ingress").leave())
            response = None
            while response is None or response.status == 200:
                await asyncio.sleep(0.05)
                await caller.send(writer, "/book/x")
                response = await read_response(reader)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert fleet.count_runs(caller.sent_ids[-1]) == 0
            assert (await stream).is_complete
            await leaving
            writer.close()


async def test_revoked_keys_are_refused() -> None:
    async with running_deployment() as deployment:
        assert (await deployment.caller.request("/book/x")).status == 200
        deployment.fleet.configure(make_configuration(2, tenants=[{"name": "acme"}]))
        catalog_service = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog_service.catalog.version == 2)
        assert KEY not in catalog_service.catalog.organisation_by_key
        assert (await deployment.caller.request("/book/x")).status == 401
        deployment.fleet.configure(make_configuration(1))
        deployment.fleet.configure(make_configuration(3))
        await wait_until(lambda: catalog_service.catalog.version == 3)
        assert (
            PROFILE.slots
            == catalog_service.catalog.pool_by_name[ENGINE_POOL].engine.slots
        )


async def test_a_request_waits_for_the_first_configuration() -> None:
    fleet = Fleet(next_host())
    async with capnp.kj_loop(), fleet.running():
        fleet.add_plain_service("plain-0")
        instance = make_instance(fleet, "one", next_host())
        async with instance.app.running():
            request_task = asyncio.create_task(Caller(instance).request("/book/x"))
            await wait_until(lambda: instance.app.get("ingress").in_progress)
            fleet.configure(make_configuration())
            assert (await request_task).status == 200
