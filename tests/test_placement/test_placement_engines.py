"""Which engines are chosen for prompts of unlike lengths."""

from __future__ import annotations

import attrs

from cicadacourse.placement import (
    Candidate,
    PlacementRequest,
    choose_endpoint,
    choose_engines,
    choose_with_reservations,
)
from cicadacourse.util import hashing
from standins.platform import PROFILE
from tests.test_placement.candidates import engine

SHORT = PlacementRequest(
    "r", "engines", 1, target_s=0.3, wait_s=5.0, time_left_s=10.0, prompt_tokens=5000
)
SHORT = attrs.evolve(SHORT, output_tokens=1600, gap_s=0.2)
LONG = attrs.evolve(
    SHORT, prompt_tokens=210_000, output_tokens=800, target_s=3.0, gap_s=0.8
)


def tight(number: int, writers: int, **load: object) -> Candidate:
    return engine(
        number,
        decode_streams=writers,
        context_tokens=6600 * writers,
        shortest_gap_s=0.2,
        **load,
    )


def test_packs_short_prompts_on_the_engine_with_most_streams() -> None:
    choice = choose_engines(SHORT, PROFILE, [engine(1), tight(2, 3), tight(3, 5)])
    assert choice.decode_engine.endpoint.id == "e03"
    assert choice.helpers == ()


def test_opens_another_engine_when_the_packed_one_is_full() -> None:
    choice = choose_engines(SHORT, PROFILE, [tight(1, 8), tight(2, 8), engine(3)])
    assert choice.decode_engine.endpoint.id == "e03"


def test_leaves_the_last_slot_free_while_others_have_room() -> None:
    choice = choose_engines(SHORT, PROFILE, [tight(1, 7), engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"
    choice = choose_engines(SHORT, PROFILE, [tight(1, 7), tight(2, 8)])
    assert choice.decode_engine.endpoint.id == "e01"


def test_does_not_queue_a_short_prompt_behind_long_reading() -> None:
    busy = tight(1, 4, backlog_s=0.4)
    choice = choose_engines(SHORT, PROFILE, [busy, engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"


def test_keeps_a_short_prompt_in_its_failure_domain_while_there_is_room() -> None:
    far = attrs.evolve(tight(1, 5), is_same_domain=False)
    choice = choose_engines(SHORT, PROFILE, [far, engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"


def test_spreads_a_long_prompt_over_engines_without_streams() -> None:
    packed = [tight(number, 6) for number in range(1, 4)]
    idle = [engine(number) for number in range(4, 19)]
    choice = choose_engines(LONG, PROFILE, [*packed, *idle])
    chosen = {choice.decode_engine, *choice.helpers}
    assert not chosen & set(packed)
    assert len(choice.helpers) >= 8
    assert choice.first_event_s < LONG.target_s / 2


def test_reads_small_parts_beside_streams_when_no_engine_is_idle() -> None:
    packed = [tight(number, 3) for number in range(1, 19)]
    need = attrs.evolve(LONG, prompt_tokens=100_000)
    choice = choose_engines(need, PROFILE, packed)
    pass_s = PROFILE.pass_s(4, 26_400)
    assert choice.prefill_s + pass_s <= 0.2


def test_waits_rather_than_overfill_an_engines_memory() -> None:
    full = [engine(1, decode_streams=1, context_tokens=300_000, shortest_gap_s=0.8)]
    assert choose_engines(LONG, PROFILE, full) is None


def test_spreads_memory_over_as_few_engines_as_hold_it() -> None:
    need = attrs.evolve(LONG, prompt_tokens=1_000_000)
    fleet = [engine(number) for number in range(1, 19)]
    choice = choose_with_reservations(need, PROFILE, fleet)
    held = sum(plan.tokens for plan in choice.reservation_plans)
    assert held + PROFILE.kv_tokens >= need.context_tokens
    assert len(choice.reservation_plans) == 2
    assert {plan.endpoint.id for plan in choice.reservation_plans} <= {
        item.endpoint.id for item in choice.helpers
    }
    assert len(choice.helpers) == 16


def test_asks_for_no_tickets_that_the_fleet_can_not_hold() -> None:
    need = attrs.evolve(LONG, prompt_tokens=1_000_000)
    assert choose_with_reservations(need, PROFILE, [engine(1), engine(2)]) is None


def test_short_prompts_never_take_tickets() -> None:
    full = [engine(n, decode_streams=2, context_tokens=449_000) for n in range(1, 9)]
    assert choose_with_reservations(SHORT, PROFILE, full) is None


def test_a_call_goes_to_the_least_loaded_endpoint_with_a_slot() -> None:
    busy = engine(1, calls=3)
    full = engine(2, calls=8)
    idle_far = engine(3, near=False, calls=1)
    assert choose_endpoint([busy, full, idle_far]) is idle_far
    assert choose_endpoint([full]) is None


def test_instances_that_have_not_heard_of_each_other_choose_different_engines() -> None:
    """Replays a start of all instances at once, before they know each other."""
    chosen = set()
    for instance in ("a-1", "a-2", "a-3", "b-1", "b-2", "c-1"):
        fleet = [
            attrs.evolve(item, tie_break=hashing.score(instance, item.endpoint.id))
            for item in (engine(number) for number in range(18))
        ]
        choice = choose_engines(SHORT, PROFILE, fleet)
        chosen.add(choice.decode_engine.endpoint.id)
    assert len(chosen) >= 4
