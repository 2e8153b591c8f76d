"""The choice of engines for short and long prompts, and of endpoints for calls.

The tests guard against choices that make streams late, that exceed the slots or the KV
cache of an engine, and that all instances make alike.
"""

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


def short_gap_engine(number: int, decode_streams: int, **load: object) -> Candidate:
    return engine(
        number,
        decode_streams=decode_streams,
        context_tokens=6600 * decode_streams,
        shortest_gap_s=0.2,
        **load,
    )


def test_short_prompts_are_packed_on_the_engine_with_most_streams() -> None:
    choice = choose_engines(
        SHORT, PROFILE, [engine(1), short_gap_engine(2, 3), short_gap_engine(3, 5)]
    )
    assert choice.decode_engine.endpoint.id == "e03"
    assert choice.helpers == ()


def test_an_idle_engine_is_used_when_the_packed_ones_are_full() -> None:
    choice = choose_engines(
        SHORT, PROFILE, [short_gap_engine(1, 8), short_gap_engine(2, 8), engine(3)]
    )
    assert choice.decode_engine.endpoint.id == "e03"


def test_the_last_slot_stays_free_while_other_engines_have_free_slots() -> None:
    choice = choose_engines(SHORT, PROFILE, [short_gap_engine(1, 7), engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"
    choice = choose_engines(
        SHORT, PROFILE, [short_gap_engine(1, 7), short_gap_engine(2, 8)]
    )
    assert choice.decode_engine.endpoint.id == "e01"


def test_a_short_prompt_is_not_placed_behind_a_long_prefill() -> None:
    busy = short_gap_engine(1, 4, backlog_s=0.4)
    choice = choose_engines(SHORT, PROFILE, [busy, engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"


def test_a_short_prompt_stays_in_its_failure_domain_while_it_has_free_slots() -> None:
    far = attrs.evolve(short_gap_engine(1, 5), is_same_domain=False)
    choice = choose_engines(SHORT, PROFILE, [far, engine(2)])
    assert choice.decode_engine.endpoint.id == "e02"


def test_the_prefill_of_a_long_prompt_is_split_over_engines_without_streams() -> None:
    packed = [short_gap_engine(number, 6) for number in range(1, 4)]
    idle = [engine(number) for number in range(4, 19)]
    choice = choose_engines(LONG, PROFILE, [*packed, *idle])
    chosen = {choice.decode_engine, *choice.helpers}
    assert not chosen & set(packed)
    assert len(choice.helpers) >= 8
    assert choice.first_event_s < LONG.target_s / 2


def test_parts_stay_small_when_no_engine_is_idle() -> None:
    packed = [short_gap_engine(number, 3) for number in range(1, 19)]
    request = attrs.evolve(LONG, prompt_tokens=100_000)
    choice = choose_engines(request, PROFILE, packed)
    pass_s = PROFILE.pass_s(4, 26_400)
    assert choice.prefill_s + pass_s <= 0.2


def test_a_prompt_waits_rather_than_exceed_the_kv_cache_of_an_engine() -> None:
    full = [engine(1, decode_streams=1, context_tokens=300_000, shortest_gap_s=0.8)]
    assert choose_engines(LONG, PROFILE, full) is None


def test_kv_cache_is_reserved_on_as_few_engines_as_possible() -> None:
    request = attrs.evolve(LONG, prompt_tokens=1_000_000)
    fleet = [engine(number) for number in range(1, 19)]
    choice = choose_with_reservations(request, PROFILE, fleet)
    reserved_tokens = sum(plan.tokens for plan in choice.reservation_plans)
    assert reserved_tokens + PROFILE.kv_tokens >= request.context_tokens
    assert len(choice.reservation_plans) == 2
    assert {plan.endpoint.id for plan in choice.reservation_plans} <= {
        item.endpoint.id for item in choice.helpers
    }
    assert len(choice.helpers) == 16


def test_nothing_is_reserved_if_the_fleet_has_too_little_kv_cache() -> None:
    request = attrs.evolve(LONG, prompt_tokens=1_000_000)
    assert choose_with_reservations(request, PROFILE, [engine(1), engine(2)]) is None


def test_short_prompts_never_get_reservations() -> None:
    full = [engine(n, decode_streams=2, context_tokens=449_000) for n in range(1, 9)]
    assert choose_with_reservations(SHORT, PROFILE, full) is None


def test_a_call_goes_to_the_least_loaded_endpoint_with_a_slot() -> None:
    busy = engine(1, calls=3)
    full = engine(2, calls=8)
    idle_far = engine(3, is_same_domain=False, calls=1)
    assert choose_endpoint([busy, full, idle_far]) is idle_far
    assert choose_endpoint([full]) is None


def test_instances_that_do_not_know_each_other_choose_different_engines() -> None:
    """Guards against all instances choosing one engine after they start together."""
    chosen = set()
    for instance in ("a-1", "a-2", "a-3", "b-1", "b-2", "c-1"):
        fleet = [
            attrs.evolve(item, tie_break=hashing.score(instance, item.endpoint.id))
            for item in (engine(number) for number in range(18))
        ]
        choice = choose_engines(SHORT, PROFILE, fleet)
        chosen.add(choice.decode_engine.endpoint.id)
    assert len(chosen) >= 4


def test_a_call_is_not_placed_where_it_would_have_no_connection() -> None:
    busy = engine(1, calls=4)
    without = attrs.evolve(engine(2), has_connection=False)
    assert choose_endpoint([busy, without]) is busy
    assert choose_endpoint([without]) is None


def test_an_engine_without_a_connection_helps_but_does_not_decode() -> None:
    without = attrs.evolve(engine(1), has_connection=False)
    free = engine(2)
    choice = choose_engines(LONG, PROFILE, [without, free])
    assert choice.decode_engine is free
    assert choice.helpers == (without,)
    assert choose_engines(LONG, PROFILE, [without]) is None
    assert choose_engines(SHORT, PROFILE, [without]) is None


def test_kv_cache_is_reserved_for_an_engine_with_a_connection() -> None:
    request = attrs.evolve(LONG, prompt_tokens=1_000_000)
    fleet = [engine(number) for number in range(1, 19)]
    without = [attrs.evolve(item, has_connection=False) for item in fleet]
    assert choose_with_reservations(request, PROFILE, without) is None
    choice = choose_with_reservations(request, PROFILE, [*without[:-1], fleet[-1]])
    assert choice.decode_engine is fleet[-1]
