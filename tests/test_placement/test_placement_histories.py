"""Random loads: no choice exceeds the known slots or KV cache of an engine."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.catalog import Endpoint
from cicadacourse.load import EndpointLoad
from cicadacourse.placement import (
    Candidate,
    PlacementRequest,
    choose_engines,
    choose_with_reservations,
)
from cicadacourse.placement._engines import MAX_HELPERS
from standins.platform import PROFILE

PROMPTS = st.integers(min_value=1, max_value=1_000_000)


@st.composite
def fleets(draw: st.DrawFn) -> list[Candidate]:
    """Returns up to 20 engines with any load."""
    count = draw(st.integers(min_value=0, max_value=20))
    return [_engine(draw, number) for number in range(count)]


def _engine(draw: st.DrawFn, number: int) -> Candidate:
    decode_streams = draw(st.integers(min_value=0, max_value=9))
    gap_s = draw(st.sampled_from([0.2, 0.5, 0.8])) if decode_streams else None
    load = EndpointLoad(
        decode_streams=decode_streams,
        helper_prefills=draw(st.integers(min_value=0, max_value=9)),
        context_tokens=draw(st.integers(min_value=0, max_value=600_000)),
        backlog_s=draw(st.floats(min_value=0, max_value=20)),
        shortest_gap_s=gap_s,
    )
    endpoint = Endpoint(f"e{number}", "engines", f"10.0.0.{number}:1", "a", 8)
    return Candidate(endpoint, load, draw(st.booleans()))


def _make_request(prompt_tokens: int) -> PlacementRequest:
    return PlacementRequest("r", "engines", 1, 3.0, 5.0, 10.0, prompt_tokens, 800, 0.8)


@given(fleets(), PROMPTS)
def test_a_choice_never_exceeds_the_known_capacity_of_an_engine(
    fleet: list[Candidate], tokens: int
) -> None:
    request = _make_request(tokens)
    choice = choose_engines(request, PROFILE, fleet)
    if choice is None:
        return
    assert choice.decode_engine.load.decode_streams < PROFILE.slots
    used_tokens = choice.decode_engine.load.context_tokens + request.context_tokens
    assert used_tokens <= PROFILE.kv_tokens
    _check_helpers(choice.decode_engine, choice.helpers)


@given(fleets(), PROMPTS)
def test_reservations_cover_the_whole_prompt_or_there_are_none(
    fleet: list[Candidate], tokens: int
) -> None:
    request = _make_request(tokens)
    choice = choose_with_reservations(request, PROFILE, fleet)
    if choice is None:
        return
    reserved_tokens = sum(plan.tokens for plan in choice.reservation_plans)
    kept_tokens = request.context_tokens - reserved_tokens
    assert choice.decode_engine.load.context_tokens + kept_tokens <= PROFILE.kv_tokens
    load_by_id = {item.endpoint.id: item.load for item in fleet}
    for plan in choice.reservation_plans:
        used_by_others = load_by_id[plan.endpoint.id].context_tokens
        assert used_by_others + plan.tokens <= PROFILE.kv_tokens
        assert plan.endpoint.id != choice.decode_engine.endpoint.id
    _check_helpers(choice.decode_engine, choice.helpers)


def _check_helpers(decode_engine: Candidate, helpers: tuple[Candidate, ...]) -> None:
    ids = [item.endpoint.id for item in helpers]
    assert len(ids) <= MAX_HELPERS
    assert len(set(ids)) == len(ids)
    assert decode_engine.endpoint.id not in ids
    assert all(item.load.helper_prefills < PROFILE.slots for item in helpers)
