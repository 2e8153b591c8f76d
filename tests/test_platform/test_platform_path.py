"""The whole path over the platform's protocol: what callers and endpoints see."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import AsyncIterator

import attrs
import capnp
import logbook
import pytest

from cicadacourse.logs import ENDPOINT_EJECTED, ENDPOINT_READMITTED
from cicadacourse.platform import _ingress
from cicadacourse.util.clock import now
from standins.callers import event_ids, read_response
from standins.platform import (
    ENGINE_POOL,
    KEY,
    ORGANISATION,
    PROFILE,
    Engine,
    Fleet,
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


@attrs.define
class Setting:
    """A deployment with one instance and a caller of it."""

    fleet: Fleet
    instance: Instance
    caller: Caller

    def engines(self) -> list[Engine]:
        """Returns all engines of the fleet."""
        workers = [item.worker for item in self.fleet.endpoint_by_id.values()]
        return [worker.engine for worker in workers if worker.engine is not None]

    def runs(self) -> int:
        """Returns how often the caller's last request was run."""
        return self.fleet.count_runs(self.caller.sent_ids[-1])


@contextlib.asynccontextmanager
async def setting(engines: int = 3, plains: int = 2) -> AsyncIterator[Setting]:
    async with running_fleet(engines, plains) as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            yield Setting(fleet, instance, Caller(instance))


async def test_passes_a_stream_on_whole_with_the_endpoints_signature() -> None:
    async with setting() as it:
        answer = await it.caller.request("/ask/x", STREAM_TOKENS)
        assert (answer.status, answer.is_complete) == (200, True)
        assert event_ids(answer.body) == list(range(STREAM_EVENTS))
        request_id = it.caller.sent_ids[-1]
        assert answer.headers["x-cicadacourse-server-seal"].endswith(request_id)
        assert it.runs() == 1


async def test_passes_a_call_on_with_the_organisation_in_place_of_the_key() -> None:
    async with setting() as it:
        answer = await it.caller.request(
            "/book/x", method="POST", X_Cicadacourse_Tenant="someone-else"
        )
        request_id = it.caller.sent_ids[-1]
        assert answer.body == f"answer to {request_id}".encode()
        organisations = [
            item.worker.tenant_by_request.get(request_id)
            for item in it.fleet.endpoint_by_id.values()
        ]
        assert ORGANISATION in organisations
        assert "someone-else" not in organisations


async def test_refuses_unknown_keys_and_routes() -> None:
    async with setting() as it:
        assert (await it.caller.request("/book/x", key="wrong")).status == 401
        assert (await it.caller.request("/book/x", key=None)).status == 401
        assert (await it.caller.request("/nowhere/x")).status == 404
        assert it.runs() == 0


async def test_refuses_a_body_above_the_configured_limit_before_it_runs() -> None:
    async with setting() as it:
        it.fleet.configure(make_configuration(2, limits={"maxBodyBytes": 4000}))
        catalog = it.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        answer = await it.caller.request("/book/1", body=bytes(4001))
        assert answer.status == 413
        assert it.runs() == 0
        assert (await it.caller.request("/book/1", body=bytes(4000))).status == 200


async def test_refuses_headers_above_the_configured_limit_before_it_runs() -> None:
    async with setting() as it:
        it.fleet.configure(make_configuration(2, limits={"maxHeaderBytes": 600}))
        catalog = it.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        answer = await it.caller.request("/book/1", X_Long="x" * 600)
        assert answer.status == 431
        assert it.runs() == 0
        assert (await it.caller.request("/book/1")).status == 200


async def test_closes_a_connection_that_is_idle_for_longer_than_configured(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_ingress, "IDLE_MARGIN_S", 0.05)
    limits = {"idleTimeoutMs": 100, "headerTimeoutMs": 100}
    async with setting() as it:
        it.fleet.configure(make_configuration(2, limits=limits))
        catalog = it.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        reader, writer = await it.caller.open("/book/1")
        assert (await read_response(reader)).status == 200
        assert await reader.read() == b""
        writer.close()


async def test_answers_a_malformed_prompt_size_and_serves_on() -> None:
    async with setting() as it:
        assert (await it.caller.request("/ask/x", "many,few")).status == 400
        assert (await it.caller.request("/ask/x", STREAM_TOKENS)).status == 200


async def test_serves_a_request_whose_guess_of_its_length_makes_no_sense() -> None:
    async with setting() as it:
        hint = {"X-Cicadacourse-Length-Hint": "many"}
        answer = await it.caller.request("/ask/x", STREAM_TOKENS, **hint)
        assert answer.status == 200


async def test_does_not_repeat_a_booking_whose_answer_is_lost() -> None:
    async with setting() as it:
        for listed in it.fleet.endpoint_by_id.values():
            listed.worker.faults = WorkerFaults(resets=1.0)
        answer = await it.caller.request("/book/x")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert it.runs() == 1


async def test_tries_a_lookup_elsewhere_when_its_answer_is_lost() -> None:
    async with setting() as it:
        faulty = it.fleet.endpoint_by_id["plain-0"].worker
        faulty.faults = WorkerFaults(resets=1.0)
        for _ in range(4):
            answer = await it.caller.request("/look/x", method="GET", body=b"")
            assert answer.status == 200


async def test_resumes_a_stream_that_breaks_off_without_a_gap() -> None:
    async with setting() as it:
        for listed in it.fleet.endpoint_by_id.values():
            if listed.pool == ENGINE_POOL:
                listed.worker.faults = WorkerFaults(cuts=0.5)
                listed.worker.random.seed(listed.worker.id)
        for _ in range(4):
            answer = await it.caller.request("/ask/x", STREAM_TOKENS)
            ids = event_ids(answer.body)
            assert ids == list(range(len(ids)))
            assert answer.is_complete == (len(ids) == STREAM_EVENTS)
            assert it.runs() <= 2


async def test_never_ends_a_stream_as_complete_that_no_endpoint_completes() -> None:
    async with setting() as it:
        for listed in it.fleet.endpoint_by_id.values():
            listed.worker.faults = WorkerFaults(cuts=1.0)
        answer = await it.caller.request("/ask/x", "5000,400")
        assert not answer.is_complete
        assert event_ids(answer.body) == [0, 1, 2, 3]


async def test_stops_the_endpoint_when_the_caller_leaves() -> None:
    async with setting() as it:
        _, writer = await it.caller.open("/ask/x", "5000,40000", timeout_ms=60000)
        engines = [item.worker for item in it.fleet.endpoint_by_id.values()]
        await wait_until(lambda: any(item.in_progress for item in engines))
        writer.close()
        await wait_until(lambda: not any(item.in_progress for item in engines))
        await wait_until(
            lambda: not it.instance.app.get("load").table.own_assignments()
        )


async def test_drops_a_connection_that_carries_a_second_answer() -> None:
    async with setting(plains=1) as it:
        it.fleet.endpoint_by_id["plain-0"].worker.faults = WorkerFaults(extra=1.0)
        for _ in range(5):
            answer = await it.caller.request("/book/x")
            assert answer.body == f"answer to {it.caller.sent_ids[-1]}".encode()


async def test_holds_a_prompt_over_several_engines_and_releases_them() -> None:
    async with setting(engines=8) as it:
        engines = it.engines()
        answer = asyncio.create_task(it.caller.request("/ask/x", "460000,92"))
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        assert (await answer).is_complete
        await wait_until(lambda: not any(engine.reserved_tokens for engine in engines))


async def test_releases_all_memory_when_the_caller_of_a_spread_prompt_leaves() -> None:
    async with setting(engines=8) as it:
        engines = it.engines()
        _, writer = await it.caller.open("/ask/x", "500000,92")
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        writer.close()
        await wait_until(lambda: not any(engine.reserved_tokens for engine in engines))


async def test_releases_all_memory_when_the_writing_engine_goes_dark() -> None:
    """Replays a hunted day: the tickets were renewed for as long as callers bear."""
    async with setting(engines=8) as it:
        configuration = make_configuration(2)
        configuration["routes"][0] |= {"timeoutMs": 60000, "targetLatencyMs": 30000}
        it.fleet.configure(configuration)
        keeper = it.instance.app.get("catalog")
        await wait_until(lambda: keeper.catalog.version == 2)
        engines = it.engines()
        for engine in engines:
            engine.fault = "dead"
        it.instance.app.get("memory_client").is_reachable = _is_dark
        _, writer = await it.caller.open("/ask/x", "460000,92", timeout_ms=60000)
        await wait_until(lambda: any(engine.reserved_tokens for engine in engines))
        metrics = it.instance.app.metrics
        name, reason = "attempt_failures_total", "connection_broken"
        await wait_until(lambda: metrics.value(name, reason=reason))
        writer.close()


async def _is_dark(_: object) -> bool:
    return False


async def test_refuses_truthfully_when_engines_refuse_the_memory() -> None:
    async with setting(engines=4) as it:
        engines = it.engines()
        for engine in engines:
            assert engine.reserve("someone-else", 440_000, 60.0)
        answer = await it.caller.request("/ask/x", "600000,92")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert it.runs() == 0
        await wait_until(
            lambda: all(item.reserved_tokens == 440_000 for item in engines)
        )


async def test_refuses_a_prompt_that_the_fleet_has_no_memory_for() -> None:
    async with setting(engines=1) as it:
        answer = await it.caller.request("/ask/x", "900000,92", timeout_ms=400)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert it.runs() == 0


async def test_refuses_at_once_a_prompt_that_can_not_be_read_in_time() -> None:
    async with setting(engines=2) as it:
        started = now()
        answer = await it.caller.request("/ask/x", "400000,46", timeout_ms=1500)
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert now() - started < 0.5
        assert it.runs() == 0


async def test_spreads_a_long_prompt_so_that_no_short_stream_pauses_long() -> None:
    async with setting(engines=4) as it:
        short = asyncio.create_task(it.caller.request("/ask/x", "2000,1800"))
        await wait_until(lambda: it.instance.app.get("load").table.own_assignments())
        answer = await it.caller.request("/ask/x", "100000,92")
        assert answer.is_complete
        assert (await short).is_complete
        writer = next(
            item.worker.engine
            for item in it.fleet.endpoint_by_id.values()
            if item.worker.runs_by_request[it.caller.sent_ids[0]]
        )
        assert writer.longest_pass_s < 0.2


async def test_offers_an_endpoint_again_and_says_so_once_its_time_is_up() -> None:
    with logbook.TestHandler() as handler:
        async with setting(engines=1) as it:
            placer = it.instance.app.get("placement")
            placer.report_refusal("engine-0")
            assert handler.has_warning(ENDPOINT_EJECTED.text)
            await wait_until(lambda: handler.has_info(ENDPOINT_READMITTED.text))
            assert not placer.health.is_ejected("engine-0", now())


async def test_gives_a_leaving_endpoint_nothing_more() -> None:
    async with setting(plains=2) as it:
        listed = it.fleet.endpoint_by_id["plain-0"]
        listed.state = "draining"
        it.fleet.register(listed)
        fleet = it.instance.app.get("catalog").registry
        await wait_until(lambda: len(fleet.ready("plain")) == 1)
        for _ in range(4):
            assert (await it.caller.request("/book/x")).status == 200
        assert not listed.worker.runs_by_request


async def test_never_sends_to_another_endpoint_at_a_reused_address() -> None:
    async with setting(plains=1) as it:
        listed = it.fleet.endpoint_by_id["plain-0"]
        listed.worker.id = "someone-else"
        answer = await it.caller.request("/book/x")
        assert answer.status == 503
        assert it.runs() == 0


async def test_answers_503_and_is_not_ready_before_the_first_configuration() -> None:
    fleet = Fleet(next_host())
    async with capnp.kj_loop(), fleet.running():
        fleet.add_plain("plain-0")
        instance = make_instance(fleet, "one", next_host())
        async with instance.app.running():
            caller = Caller(instance)
            assert (await caller.request("/book/x")).status == 503
            ready = await fetch(instance.host, instance.ready_port, "/api/ready")
            assert ready.status == 503
            fleet.configure(make_configuration())
            await wait_until(instance.app.get("probes").is_ready)
            assert (await caller.request("/book/x")).status == 200


async def test_names_the_instances_to_callers() -> None:
    async with setting() as it:
        answer = await fetch(
            it.instance.host, it.instance.directory_port, "/api/resolve?zone=a"
        )
        row = json.loads(answer.body)
        own = f"{it.instance.host}:{it.instance.caller_port}"
        assert row["addresses"] == [own]
        assert 0 < row["ttlS"] <= 5


async def test_leaving_finishes_streams_and_takes_itself_out_of_look_ups() -> None:
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


async def test_a_leaving_instance_refuses_what_it_could_not_finish() -> None:
    """Replays a hunted day: requests taken late were cut when the time was up."""
    async with running_fleet() as fleet:
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            caller = Caller(instance)
            stream = asyncio.create_task(caller.request("/ask/x", "5000,2300"))
            await wait_until(lambda: instance.app.get("load").table.own_assignments())
            reader, writer = await caller.open("/book/x")
            assert (await read_response(reader)).status == 200
            leaving = asyncio.create_task(instance.app.get("ingress").leave())
            answer = None
            while answer is None or answer.status == 200:
                await asyncio.sleep(0.05)
                await caller.send(writer, "/book/x")
                answer = await read_response(reader)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert fleet.count_runs(caller.sent_ids[-1]) == 0
            assert (await stream).is_complete
            await leaving
            writer.close()


async def test_keys_that_were_taken_away_work_no_more() -> None:
    async with setting() as it:
        assert (await it.caller.request("/book/x")).status == 200
        it.fleet.configure(make_configuration(2, tenants=[{"name": "acme"}]))
        keeper = it.instance.app.get("catalog")
        await wait_until(lambda: keeper.catalog.version == 2)
        assert KEY not in keeper.catalog.organisation_by_key
        assert (await it.caller.request("/book/x")).status == 401
        it.fleet.configure(make_configuration(1))
        it.fleet.configure(make_configuration(3))
        await wait_until(lambda: keeper.catalog.version == 3)
        assert PROFILE.slots == keeper.catalog.pool_by_name[ENGINE_POOL].engine.slots


async def test_a_request_waits_shortly_for_the_first_configuration() -> None:
    fleet = Fleet(next_host())
    async with capnp.kj_loop(), fleet.running():
        fleet.add_plain("plain-0")
        instance = make_instance(fleet, "one", next_host())
        async with instance.app.running():
            asked = asyncio.create_task(Caller(instance).request("/book/x"))
            await wait_until(lambda: instance.app.get("ingress").in_progress)
            fleet.configure(make_configuration())
            assert (await asked).status == 200
