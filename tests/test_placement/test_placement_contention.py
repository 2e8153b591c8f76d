"""One instance keeps engines that several instances choose at the same time.

If no instance yielded, their prompts would delay each other; if all did, none would be
served.
"""

from __future__ import annotations

import asyncio

import attrs
import logbook
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.application import Application
from cicadacourse.load import Assignment, LoadTable, Role
from cicadacourse.logs import PLACEMENT_YIELDED
from cicadacourse.membership import Member
from cicadacourse.placement import CONTENTION_WINDOW_S, PlacementRequest, must_yield
from tests.simulated_loop import new_event_loop
from tests.test_gateway.test_gateway_histories import FakeMembership, make_app

PART_PREFILL_S = 0.2
LONG = PlacementRequest("r", "engines", 1, 3.0, 2.0, 12.0, 210_000, 800, 0.8)
SHORT = PlacementRequest("s", "engines", 1, 0.3, 2.0, 2.0, 4000, 800, 0.2)


def split_assignments(
    engines: list[int], prefill_s: float = PART_PREFILL_S
) -> list[Assignment]:
    """Returns the assignments of a prompt whose prefill is split over some engines."""
    decode_engine, *helpers = engines
    assignments = [
        Assignment(
            f"e{decode_engine}", Role.DECODE, 0.0, prefill_s=prefill_s, gap_s=0.8
        )
    ]
    assignments += [
        Assignment(f"e{item}", Role.PREFILL, 0.0, prefill_s=prefill_s)
        for item in helpers
    ]
    return assignments


def table_of_others(
    assignments_by_instance: dict[str, list[Assignment]], own_name: str
) -> LoadTable:
    """Returns the load table of one instance with the assignments of all others."""
    table = LoadTable()
    for name, assignments in assignments_by_instance.items():
        if name != own_name:
            table.replace_remote_assignments(name, assignments)
    return table


CHOICES = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.builds(
        split_assignments,
        st.lists(st.integers(0, 5), min_size=1, max_size=4, unique=True),
        st.sampled_from([0.06, 0.2, 0.2004, 0.5]),
    ),
    min_size=2,
)


@given(CHOICES)
def test_one_of_two_overlapping_choices_yields_and_not_all_yield(
    choices: dict[str, list[Assignment]],
) -> None:
    yielding = {
        name: must_yield(name, assignments, table_of_others(choices, name), 0.02)
        for name, assignments in choices.items()
    }
    assert not all(yielding.values())
    for one, assignments in choices.items():
        for other, others in choices.items():
            engines = {assignment.endpoint for assignment in assignments}
            if one != other and engines & {
                assignment.endpoint for assignment in others
            }:
                assert yielding[one] or yielding[other]


def test_the_choice_with_the_shorter_prefill_keeps_the_engines() -> None:
    choices = {
        "a": split_assignments([1, 2]),
        "b": split_assignments([2, 3], prefill_s=0.1),
    }
    assert must_yield("a", choices["a"], table_of_others(choices, "a"), 0.02)
    assert not must_yield("b", choices["b"], table_of_others(choices, "b"), 0.02)


def test_no_choice_yields_to_decoding_streams_or_short_prompts() -> None:
    prefilled = split_assignments([1], prefill_s=0.1)
    prefilled[0].is_prefilled = True
    table = table_of_others(
        {"a": prefilled, "b": split_assignments([1], prefill_s=0.02)}, "c"
    )
    assert not must_yield("c", split_assignments([1, 2]), table, 0.02)


def test_no_choice_yields_for_long_to_an_overdue_prefill() -> None:
    """Guards against starvation by overdue parts.

    With 80 instances, one prompt yielded 90 times to parts whose prefill took longer
    than reported.
    """
    overdue = [
        attrs.evolve(assignment, is_remote=True)
        for assignment in split_assignments([1, 2], prefill_s=0.1)
    ]
    table = table_of_others({"a": overdue}, "b")
    assignments = split_assignments([1, 3])
    for assignment in assignments:
        assignment.started = 0.06
    assert must_yield("b", assignments, table, now_s=0.08)
    assert not must_yield("b", assignments, table, now_s=1.2)


async def _place_during_choice_of_another(
    request: PlacementRequest, others: list[Assignment]
) -> tuple[list[str], float]:
    """Places a request while the choice of another instance is received.

    :returns: the engines of its placement, and the loop time of it in seconds.
    """
    app = _app_with_another_instance()
    loop = asyncio.get_running_loop()
    table: LoadTable = app.get("load").table
    loop.call_later(
        CONTENTION_WINDOW_S / 2, table.replace_remote_assignments, "another", others
    )
    loop.call_later(0.5, table.replace_remote_assignments, "another", ())
    async with app.get("placement").place(request) as result:
        assignments = result.unwrap().assignments
        assert [assignment.endpoint for assignment in table.own_assignments()] == [
            assignment.endpoint for assignment in assignments
        ]
        engines = [assignment.endpoint for assignment in assignments]
    assert not table.own_assignments()
    return engines, loop.time()


def _app_with_another_instance() -> Application:
    app = make_app()
    membership: FakeMembership = app.get("membership")
    another = Member("another", "127.0.0.1:3", failure_domain="b")
    membership.members = lambda: [another, membership.self_member()]
    return app


def _run_placement(
    request: PlacementRequest, others: list[Assignment]
) -> tuple[list[str], float]:
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(_place_during_choice_of_another(request, others))


ALL_ENGINES = [f"engines-{number}" for number in range(3)]
SHORTER_PREFILLS = [
    Assignment(name, Role.PREFILL, 0.0, prefill_s=0.07) for name in ALL_ENGINES
]
LONGER_PREFILLS = [
    Assignment(name, Role.PREFILL, 0.0, prefill_s=1.5) for name in ALL_ENGINES
]


def test_a_long_prompt_is_queued_again_when_another_instance_keeps_its_engines() -> (
    None
):
    with logbook.TestHandler() as handler:
        engines, placed_at_s = _run_placement(LONG, SHORTER_PREFILLS)
        assert handler.has_info(PLACEMENT_YIELDED.text)
    assert engines and placed_at_s > 0.1


def test_a_long_prompt_does_not_yield_to_a_longer_prefill() -> None:
    engines, placed_at_s = _run_placement(LONG, LONGER_PREFILLS)
    assert len(engines) == 3 and placed_at_s < 2 * CONTENTION_WINDOW_S


def test_a_short_prompt_has_no_contention_window() -> None:
    _, placed_at_s = _run_placement(SHORT, SHORTER_PREFILLS)
    assert placed_at_s < CONTENTION_WINDOW_S / 2
