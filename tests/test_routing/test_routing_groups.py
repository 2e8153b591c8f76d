"""Tests of prompts that are larger than one engine."""

from __future__ import annotations

import asyncio

import pytest

from bench.load import Fleet, Scenario, run_scenario
from bench.load._arrivals import Arrival
from bench.load._fleet import POOL
from bench.load._results import Fate
from bench.load._run import _send
from cicadacourse.routing import PromptClass, Work, _slices
from cicadacourse.routing._groups import Groups
from cicadacourse.routing._slices import split

HUGE_TOKENS = 1_000_000
SETTLED_S = 40.0


def huge(name: str, at_s: float = 0.0) -> Arrival:
    return Arrival(
        name=name,
        at_s=at_s,
        organisation=name,
        prompt_tokens=HUGE_TOKENS,
        output_tokens=50,
        time_limit_s=300.0,
    )


def short(number: int) -> Arrival:
    return Arrival(
        name=f"short{number}",
        at_s=number * 0.2,
        organisation="quick",
        prompt_tokens=2_000,
        output_tokens=20,
        time_limit_s=30.0,
    )


def test_three_huge_prompts_at_once_complete_and_short_ones_go_on():
    arrivals = [huge(f"huge{number}") for number in range(4)]
    arrivals += [short(number) for number in range(100)]
    results = run_scenario(Scenario(name="huge"), arrivals, 60.0, seed=1)
    assert {one.fate for one in results} == {Fate.COMPLETE}
    quick = [one for one in results if one.prompt_class is PromptClass.SHORT]
    assert max(one.first_token_s for one in quick) < 1.2


async def fates_of_two_in_one_domain() -> set[Fate]:
    """Sends two huge prompts to a fleet where one failure domain alone has room."""
    fleet = Fleet("default", engine_count=7, instance_count=3)
    async with fleet.running():
        sends = [_send(fleet.apps[index], huge(f"huge{index}")) for index in range(2)]
        return {result.fate for result in await asyncio.gather(*sends)}


@pytest.mark.looptime
async def test_two_groups_of_the_same_engines_do_not_deadlock(monkeypatch):
    assert await fates_of_two_in_one_domain() == {Fate.COMPLETE}
    reserve_all = Groups._reserve_all

    async def reserve_in_any_order(self, slices, deadline):
        is_odd = slices[0].work.request_id.startswith("huge1")
        ordered = list(reversed(slices)) if is_odd else slices
        return await reserve_all(self, ordered, deadline)

    monkeypatch.setattr(Groups, "_reserve_all", reserve_in_any_order)
    assert await fates_of_two_in_one_domain() != {Fate.COMPLETE}


def test_the_naive_policy_can_not_serve_a_huge_prompt():
    results = run_scenario(
        Scenario(name="naive", policy="naive"), [huge("huge0")], 10.0, seed=1
    )
    assert results[0].fate is Fate.REFUSED


async def run_with_death(engine_index: int, after_s: float) -> tuple[Fate, int]:
    """Kills one engine during a huge request; returns its fate and what is held."""
    fleet = Fleet("default", engine_count=9, instance_count=3)
    async with fleet.running():
        task = asyncio.create_task(_send(fleet.apps[0], huge("huge0")))
        await asyncio.sleep(after_s)
        held = [one for one in fleet.engines if (await one.sessions()).kv_used]
        if held:
            held[engine_index % len(held)].crash()
        result = await task
        for engine in fleet.engines:
            engine.restart()
        await asyncio.sleep(SETTLED_S)
        return result.fate, await fleet.kv_used()


@pytest.mark.looptime
@pytest.mark.parametrize("engine_index", [0, 1, 2])
@pytest.mark.parametrize("after_s", [0.05, 3.0, 8.6, 9.5])
async def test_a_members_death_ends_in_an_answer_and_no_memory_held(
    engine_index, after_s
):
    fate, held = await run_with_death(engine_index, after_s)
    assert fate is Fate.COMPLETE
    assert held == 0


async def fate_with_silent_member() -> Fate:
    fleet = Fleet("default", engine_count=9, instance_count=3)
    async with fleet.running():
        task = asyncio.create_task(_send(fleet.apps[0], huge("huge0")))
        await asyncio.sleep(3.0)
        held = [one for one in fleet.engines if (await one.sessions()).kv_used]
        held[0].faults.silence = True
        return (await task).fate


@pytest.mark.looptime
async def test_a_member_that_goes_silent_is_given_up_in_time(monkeypatch):
    assert await fate_with_silent_member() is Fate.COMPLETE
    monkeypatch.setattr(_slices, "PREFILL_SLACK", 1e6)
    assert await fate_with_silent_member() is Fate.LATE


@pytest.mark.looptime
@pytest.mark.parametrize("after_s", [0.01, 0.03, 3.0])
async def test_a_group_whose_owner_dies_vanishes(after_s):
    fleet = Fleet("default", engine_count=9, instance_count=3)
    async with fleet.running():
        task = asyncio.create_task(_send(fleet.apps[0], huge("huge0")))
        await asyncio.sleep(after_s)
        fleet.network.freeze("10.0.0.1:7000")
        fleet.lose("entry0")
        await asyncio.sleep(after_s + SETTLED_S)
        assert await fleet.kv_used() == 0
        fleet.network.thaw("10.0.0.1:7000")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.looptime
async def test_a_prompt_that_no_failure_domain_can_hold_is_refused():
    fleet = Fleet("default", engine_count=3, instance_count=3)
    async with fleet.running():
        work = Work("r", 1, "o", POOL, HUGE_TOKENS, 50)
        routing = fleet.apps[0].get("routing")
        deadline = asyncio.get_running_loop().time() + 300.0
        refused = await routing.acquire(work, deadline)
        assert refused.failure().kind.value == "too_large"


def test_slices_join_to_the_prompt_and_keep_characters_whole():
    prompt = "aé€𝄞" * 1_000
    texts = split(prompt, [302, 502, 402])
    assert "".join(texts) == prompt
    assert len(texts) == 4
    assert all(len(text.encode()) <= 4 * 501 for text in texts[:3])
