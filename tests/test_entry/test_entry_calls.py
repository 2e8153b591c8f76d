"""At most one run, and truthful refusals; the service's own count is the judge."""

from __future__ import annotations

import asyncio

import looptime
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from cicadacourse.application import Service
from cicadacourse.claims import ClaimKind, ClaimOutcome
from cicadacourse.entry import _attempts
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.clock import now
from tests.entry_instance import (
    MemorySink,
    World,
    booking,
    running_instance,
    serve,
)

SERVICE_FAULTS = [
    {},
    {"lose_answer": True},
    {"fail_before_run": True},
    {"slow_s": 3.0},
    {"slow_s": 60.0},
    {"silence": True},
    {"down": True},
]


def check_call(world: World, sink: MemorySink, repeatable: bool, request="r1") -> None:
    """Checks what the caller was told against the services' own counts."""
    runs = world.runs().get(request, 0)
    error = sink.final_error
    if not repeatable:
        assert runs <= 1
    if error is None:
        assert sink.lines[-1]["result"]["echo"] == '{"seat": 1}'
        assert sink.lines[-1]["request"] == request
        assert runs >= 1
    elif error["run"] == "not_run":
        assert runs == 0
    else:
        assert error["run"] == "unknown"


async def run_calls(faults_by_service, repeatable, time_limit_s=10, name="a"):
    """Serves one call, then lets every service finish what it holds."""
    world = World.make(services=len(faults_by_service))
    for core, faults in zip(world.services.values(), faults_by_service):
        for fault, value in faults.items():
            core.faults.set(fault, value)
    async with running_instance(world, name) as app:
        started = now()
        body = booking(repeatable=repeatable, time_limit_s=time_limit_s)
        sink = await serve(app, body)
        assert sink.ended_at - started <= time_limit_s
        for core in world.services.values():
            core.faults.set("silence", False)
        await asyncio.sleep(100)
    return world, sink


@pytest.mark.looptime
@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("faults", SERVICE_FAULTS, ids=str)
async def test_a_call_is_answered_truthfully(faults, repeatable):
    for seed in range(3):
        world, sink = await run_calls([faults, {}], repeatable, name=f"a{seed}")
        check_call(world, sink, repeatable)
        world, sink = await run_calls([faults, faults], repeatable, name=f"a{seed}")
        check_call(world, sink, repeatable)


@given(
    faults=st.lists(st.sampled_from(SERVICE_FAULTS), min_size=1, max_size=4),
    repeatable=st.booleans(),
    time_limit_s=st.sampled_from([0.01, 0.03, 1, 10]),
    name=st.sampled_from(["a", "b", "c", "d"]),
)
def test_random_faults_never_make_a_call_run_twice_or_a_refusal_false(
    faults, repeatable, time_limit_s, name
):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        world, sink = runner.run(run_calls(faults, repeatable, time_limit_s, name))
    check_call(world, sink, repeatable)


class EagerAttempts(_attempts.Attempts):
    """Retries whatever failed, as a plain retry loop would."""

    def _reason_not_to_repeat(self, error):
        return "attempts" if self.number >= 3 else ""


class HopefulAttempts(_attempts.Attempts):
    """Calls every failure a request that did not run."""

    def note_sent(self):
        pass


@pytest.mark.looptime
@pytest.mark.parametrize("naive", [EagerAttempts, HopefulAttempts])
async def test_naive_retries_and_refusals_fail_the_same_check(naive, monkeypatch):
    monkeypatch.setattr("cicadacourse.entry._path.Attempts", naive)
    world, sink = await run_calls([{"lose_answer": True}] * 2, repeatable=False)
    with pytest.raises(AssertionError):
        check_call(world, sink, repeatable=False)


@pytest.mark.looptime
async def test_a_call_runs_to_its_end_when_its_caller_leaves():
    world = World.make()
    world.services["s0"].faults.set("slow_s", 2.0)
    async with running_instance(world) as app:
        task = asyncio.create_task(serve(app, booking(repeatable=False)))
        await asyncio.sleep(1)
        task.cancel()
        entry = app.get("entry")
        assert entry.status()["in_progress"] == 1
        await asyncio.sleep(2)
        assert entry.status()["in_progress"] == 0
        assert app.metrics.value("grant_outcomes_total", outcome="complete") == 1
    assert world.runs() == {"r1": 1}


class Dead(Exception):
    """Stands for the end of the process that serves."""


@pytest.mark.looptime
@pytest.mark.parametrize("step", ["before_grant", "after_grant", "sent", "answered"])
async def test_an_instance_that_dies_at_any_step_runs_a_call_once_at_most(step):
    world = World.make()
    async with running_instance(world) as app:
        routing, client = app.get("routing"), app.get("endpoint_client")
        acquire, call = routing.acquire, client.call

        async def dying_acquire(*args, **kwargs):
            if step == "before_grant":
                await asyncio.Event().wait()
            grant = await acquire(*args, **kwargs)
            if step == "after_grant":
                await asyncio.Event().wait()
            return grant

        async def dying_call(*args, **kwargs):
            if step == "sent":
                asyncio.ensure_future(call(*args, **kwargs))
                await asyncio.Event().wait()
            result = await call(*args, **kwargs)
            if step == "answered":
                await asyncio.Event().wait()
            return result

        routing.acquire, client.call = dying_acquire, dying_call
        # The caller sees its connection break here and may not send again.
        lost = asyncio.create_task(serve(app, booking(repeatable=False)))
        await asyncio.sleep(20)
        assert world.runs().get("r1", 0) == int(step in ("sent", "answered"))
        await asyncio.sleep(20)
        error = (await lost).final_error
        assert error["run"] == "unknown" if step in ("sent", "answered") else "not_run"


class SharedClaims(Service):
    """Claims in one dict, as the log's order would decide them."""

    name = "claims"
    key_horizon_s = 1e12
    holders_by_key: dict = {}
    outcomes_by_key: dict = {}
    fails = False

    async def claim(self, key, request_id, deadline):
        await asyncio.sleep(0.01)
        if self.fails:
            return Failure(Error(ErrorKind.LOG_UNAVAILABLE, retry_after_s=1))
        holder = self.holders_by_key.setdefault(key, (self, request_id))
        if holder == (self, request_id) and key not in self.outcomes_by_key:
            return Success(ClaimOutcome(ClaimKind.WON))
        status, body = self.outcomes_by_key.get(key, (None, b""))
        return Success(ClaimOutcome(ClaimKind.LOST, holder[1], status, body))

    async def record_outcome(self, key, request_id, status, body):
        self.outcomes_by_key[key] = (status, body)
        return Success(None)


class AgreeableClaims(SharedClaims):
    """Grants every claim."""

    async def claim(self, key, request_id, deadline):
        return Success(ClaimOutcome(ClaimKind.WON))


KEYED = {"repeatable": False, "key": "1700000000-x", "time_limit_s": 10}


@pytest.fixture
def shared_claims(monkeypatch):
    monkeypatch.setattr(SharedClaims, "holders_by_key", {})
    monkeypatch.setattr(SharedClaims, "outcomes_by_key", {})


async def ask_twice(world, claims, first_dies):
    """Asks two instances with one key; the first may die once it has sent."""
    async with (
        running_instance(world, "a", extra=[claims]) as first,
        running_instance(world, "b", extra=[claims]) as second,
    ):
        if first_dies:
            client = first.get("endpoint_client")
            call = client.call

            async def dying_call(*args, **kwargs):
                asyncio.ensure_future(call(*args, **kwargs))
                await asyncio.Event().wait()

            client.call = dying_call
        task = asyncio.create_task(serve(first, booking(**KEYED)))
        await asyncio.sleep(2)
        again = await serve(second, booking(**{**KEYED, "request_id": "r2"}))
        return await task, again


@pytest.mark.looptime
@pytest.mark.parametrize("first_dies", [True, False])
async def test_a_key_runs_once_through_two_instances(first_dies, shared_claims):
    world = World.make()
    _, again = await ask_twice(world, SharedClaims, first_dies)
    assert sum(world.runs().values()) == 1
    if first_dies:
        assert again.final_error["kind"] == "key_claimed"
        assert again.final_error["run"] == "unknown"
    else:
        assert again.lines[-1]["result"] == {"echo": '{"seat": 1}', "run": 1}
        assert again.lines[-1]["request"] == "r2"


@pytest.mark.looptime
async def test_claims_that_are_always_granted_run_a_key_twice(shared_claims):
    world = World.make()
    await ask_twice(world, AgreeableClaims, first_dies=True)
    assert sum(world.runs().values()) == 2


@pytest.mark.looptime
async def test_no_claim_no_call_and_no_grant_kept(shared_claims):
    world = World.make()
    async with running_instance(world, extra=[SharedClaims]) as app:
        app.get("claims").fails = True
        sink = await serve(app, booking(**KEYED))
        assert sink.final_error["kind"] == "log_unavailable"
        assert sink.final_error["run"] == "not_run"
        assert world.runs() == {} and app.metrics.value("grants_held") == 0
        app.get("claims").fails = False
        assert (await serve(app, booking(**KEYED))).final_error is None
        assert world.runs() == {"r1": 1}


@pytest.mark.looptime
async def test_a_claimed_call_that_did_not_run_says_so_to_later_askers(shared_claims):
    world = World.make()
    world.services["s0"].faults.set("fail_before_run", True)
    _, again = await ask_twice(world, SharedClaims, first_dies=False)
    assert world.runs() == {}
    assert again.final_error["kind"] == "key_claimed"
    assert again.final_error["run"] == "not_run"
