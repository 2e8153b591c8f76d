"""Bad requests get a clear error; retries stay in their budget; limits hold."""

from __future__ import annotations

import asyncio
import json
import time

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from cicadacourse.application import Service
from cicadacourse.entry._budget import RetryBudget
from cicadacourse.entry._request import check_key, parse_request
from cicadacourse.errors import Error, ErrorKind
from tests.entry_instance import (
    POOLS,
    World,
    booking,
    request_body,
    running_instance,
    serve,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)
FIELDS = sorted(json.loads(request_body())) + ["key", "repeatable", "resume"]


@given(field=st.sampled_from(FIELDS), value=JSON_VALUES)
def test_any_value_of_any_field_parses_or_gives_a_bad_request(field, value):
    result = parse_request(request_body(**{field: value}))
    if isinstance(result, Failure):
        assert result.failure().kind is ErrorKind.BAD_REQUEST
        assert result.failure().detail
    else:
        request = result.unwrap()
        assert 0 < request.time_limit_s <= 86_400 and request.max_tokens > 0


@given(st.binary(max_size=64))
def test_any_bytes_give_a_bad_request(body):
    assert parse_request(body).failure().kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    "fields",
    [
        {"time_limit_s": float("inf")},
        {"time_limit_s": -1},
        {"time_limit_s": True},
        {"max_tokens": 10**30},
        {"max_tokens": 0},
        {"max_tokens": 1.5},
        {"prompt": 7},
        {"prompt": "\ud800"},
        {"organisation": "a b"},
        {"organisation": ""},
        {"request_id": "x" * 200},
        {"repeatable": "yes"},
        {"no_such_field": 1},
        {"resume": {"position": 3, "text": "abcd", "token": ""}},
        {"resume": {"position": -1, "text": ""}},
    ],
    ids=str,
)
def test_wrong_fields_are_named(fields):
    error = parse_request(request_body(**fields)).failure()
    assert error.kind is ErrorKind.BAD_REQUEST
    assert next(iter(fields)) in error.detail


def test_keys_are_bounded_in_age():
    assert check_key("1000-abc", 60, clock=lambda: 1050) is None
    assert check_key("1000-abc", 60, clock=lambda: 1061).kind is ErrorKind.KEY_EXPIRED
    for key in ("abc", "-1-abc", "1000", "1000-", "9" * 13 + "-a", "1000-a b"):
        assert check_key(key, 60, clock=lambda: 1050).label == "key_syntax"
    assert check_key("2000-abc", 60, clock=lambda: 1050).label == "key_future"


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("fields", "kind", "reason"),
    [
        ({"route": "chta"}, ErrorKind.UNKNOWN_ROUTE, "unknown_route"),
        ({"max_tokens": 5000}, ErrorKind.BAD_REQUEST, "max_tokens"),
        ({"time_limit_s": 601}, ErrorKind.BAD_REQUEST, "time_limit"),
        ({"prompt": "x" * 4_400_004}, ErrorKind.TOO_LARGE, "prompt_tokens"),
        ({"key": "1-a"}, ErrorKind.BAD_REQUEST, "key_not_taken"),
        ({"route": "book", "key": "1-a"}, ErrorKind.KEY_EXPIRED, "key_expired"),
        ({"route": "book", "key": "a"}, ErrorKind.BAD_REQUEST, "key_syntax"),
    ],
)
async def test_admission_refuses_with_a_counted_reason(fields, kind, reason):
    world = World.make()
    async with running_instance(world) as app:
        sink = await serve(app, request_body(**fields))
        assert (sink.error.kind, sink.error.label) == (kind, reason)
        assert sink.final_error["run"] == "not_run"
        assert app.metrics.value("refusals_total", reason=reason) == 1
        assert not any(core._arrivals for core in world.engines.values())


class FullLimits(Service):
    name = "limits"

    def __init__(self, app):
        super().__init__(app)
        self.asked = []

    async def admit(self, organisation, route, tokens, deadline):
        self.asked.append((organisation, route.name, tokens))
        if organisation == "hung":
            await asyncio.sleep(1000)
        if organisation == "full":
            error = Error(ErrorKind.LIMIT_EXCEEDED, "over", retry_after_s=7)
            return Failure(error)
        return Success(None)


@pytest.mark.looptime
async def test_limits_are_asked_last_and_bounded_by_the_time_limit():
    world = World.make()
    async with running_instance(world, extra=[FullLimits]) as app:
        await serve(app, request_body(max_tokens=5000))
        assert app.get("limits").asked == []
        refused = await serve(app, request_body(organisation="full"))
        assert refused.final_error["retry_after_s"] == 7
        hung = await serve(app, request_body(organisation="hung"))
        assert hung.final_error["kind"] == "timed_out"
        assert hung.final_error["run"] == "not_run"
        assert (await serve(app, request_body())).ended
        assert app.get("limits").asked[-1] == ("o", "chat", 43)


@pytest.mark.looptime
async def test_a_request_given_up_on_is_answered_at_once():
    world = World.make()
    for core in world.engines.values():
        core.faults.set("refuse", True)
    async with running_instance(world) as app:
        started = asyncio.get_running_loop().time()
        sink = await serve(app, request_body(time_limit_s=500))
        assert sink.ended_at - started < 5
        assert sink.final_error["run"] == "not_run"
        assert sink.final_error["retry_after_s"] > 0


class Unlimited(RetryBudget):
    """Allows every retry."""

    def take(self):
        return True


async def sent_over_asked(requests: int) -> float:
    """Returns calls sent per request with a third of the services failing."""
    world = World.make(services=6)
    sent = 0
    for index, core in enumerate(world.services.values()):
        core.faults.set("lose_answer", index < 2)
    pool = attrs.evolve(POOLS["booking"], eject_cap=0.0)
    pools = {**POOLS, "booking": pool}
    async with running_instance(world, pools=pools) as app:
        for index in range(requests):
            body = booking(request_id=f"r{index}", repeatable=True, time_limit_s=5)
            await serve(app, body)
        sent = app.metrics.value("attempts_total", pool="booking")
    return sent / requests


@pytest.mark.looptime
async def test_the_retry_budget_bounds_what_is_sent(monkeypatch):
    bounded = await sent_over_asked(300)
    monkeypatch.setattr("cicadacourse.entry._path.RetryBudget", Unlimited)
    unbounded = await sent_over_asked(300)
    # The pool allows 0.1 retries per request, and a floor of 0.2 a second besides.
    assert bounded <= 1.15
    assert unbounded > 1.3


def test_a_key_made_by_ask_is_valid_now():
    from cicadacourse.cmd.ask import new_key

    assert check_key(new_key(), 60, clock=time.time) is None
