"""The request path through real processes: kills, freezes, planned stops."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
import time
import urllib.request

import pytest

from bench.fleet import running_fleet, wait_for_http
from cicadacourse.caller import COMPLETE, Caller
from standins.engine import expected_text

ROUTES = "[route chat]\npool = engines\n[route book]\npool = booking\nkind = call\n"
POOLS = """\
[pool engines]
group = engines
progress_timeout_s = 1
[pool booking]
group = booking
"""
ENTRY_SETTINGS = "[entry]\nkeep_s = 2\n"
DOMAINS = ("d1", "d2", "d3")
TIME_LIMIT_S = 30


def publish(fleet):
    for name, text in (("routes", ROUTES), ("pools", POOLS)):
        (fleet.folder / f"{name}.ini").write_text(text)
    command = [sys.executable, "-m", "cicadacourse", "publish", "--author", "test"]
    command += ["--log-address", fleet.log_address]
    command += ["--routes", str(fleet.folder / "routes.ini")]
    command += ["--pools", str(fleet.folder / "pools.ini")]
    subprocess.run(command, check=True, timeout=30, stdout=subprocess.DEVNULL)


@pytest.fixture
def fleet():
    with running_fleet() as fleet:
        fleet.start_platform()
        for index in range(2):
            fleet.start_endpoint("engine", f"e{index}", "engines", DOMAINS[index])
        fleet.start_endpoint("service", "s0", "booking", "d1")
        publish(fleet)
        for index in range(3):
            fleet.start_entry(f"a{index}", DOMAINS[index], ENTRY_SETTINGS)
        for index in range(3):
            wait_for_http(fleet.programs_by_name[f"a{index}"].address, "/ready")
        yield fleet


def addresses(fleet):
    programs = fleet.programs_by_name.items()
    return [item.address for name, item in programs if name.startswith("a")]


async def wait_until_serving(caller):
    """Waits until a stream completes, so that start-up does not count as a fault."""
    async with asyncio.timeout(60):
        while (await caller.ask(chat("warm-up", 4))).outcome != COMPLETE:
            await asyncio.sleep(0.2)


def chat(prompt, max_tokens=60):
    return {
        "organisation": "o",
        "route": "chat",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "time_limit_s": TIME_LIMIT_S,
    }


def booking(index):
    """Returns a booking; every other one has a key and may be sent again."""
    key = {"key": f"{int(time.time())}-{index}"} if index % 2 else {}
    return {
        **key,
        "organisation": "o",
        "route": "book",
        "request_id": f"booking-{index}",
        "prompt": json.dumps({"seat": index}),
        "repeatable": False,
        "time_limit_s": TIME_LIMIT_S,
    }


async def load_while(fleet, disturb, streams=24, bookings=12):
    """Sends streams and bookings while something happens to the fleet.

    Returns the replies by request, with the plain service's own counts.
    """
    known = addresses(fleet)
    replies = {}

    async def send(caller, name, fields, delay_s):
        await asyncio.sleep(delay_s)
        replies[name] = await caller.ask(fields)

    with contextlib.closing(Caller(known)) as caller:
        await wait_until_serving(caller)
        async with asyncio.TaskGroup() as group:
            for index in range(streams):
                name = f"question {index}"
                group.create_task(send(caller, name, chat(name), index * 0.1))
            for index in range(bookings):
                name = f"booking-{index}"
                group.create_task(send(caller, name, booking(index), index * 0.2))
            await asyncio.sleep(0.8)
            await asyncio.to_thread(disturb)
    service = fleet.programs_by_name["s0"].address
    with urllib.request.urlopen(f"http://{service}/runs", timeout=5) as answer:
        return replies, json.load(answer)["runs"]


def check(replies, runs, whole_streams=True):
    """Checks each answer against the engine's function and the service's counts."""
    for name, reply in replies.items():
        assert not reply.wrong
        assert reply.seconds <= TIME_LIMIT_S + 5
        if name.startswith("booking"):
            assert runs.get(name, 0) <= 1
            if reply.outcome == COMPLETE:
                assert runs.get(name, 0) == 1
            if reply.outcome == "refused":
                assert runs.get(name, 0) == 0
        elif reply.outcome == COMPLETE:
            assert reply.text == expected_text(name, 60)
        else:
            assert not whole_streams, (name, reply)


def run(fleet, disturb, **options):
    with asyncio.Runner() as runner:
        replies, runs = runner.run(load_while(fleet, disturb))
    check(replies, runs, **options)
    return replies


def test_an_entry_instance_is_killed_and_streams_go_on_through_others(fleet):
    replies = run(fleet, fleet.programs_by_name["a0"].kill)
    assert {reply.outcome for reply in replies.values()} <= {COMPLETE, "unknown"}


def test_an_engine_is_killed_and_streams_go_on_through_the_other(fleet):
    run(fleet, fleet.programs_by_name["e0"].kill)


def test_a_frozen_engine_costs_no_stream(fleet):
    run(fleet, fleet.programs_by_name["e0"].freeze)


def test_planned_stops_of_two_instances_lose_nothing(fleet):
    programs = [fleet.programs_by_name[name] for name in ("a0", "a1")]

    def stop_one_after_the_other():
        for program in programs:
            program.terminate()

    replies = run(fleet, stop_one_after_the_other)
    assert {reply.outcome for reply in replies.values()} == {COMPLETE}
    assert [program.wait() for program in programs] == [0, 0]
