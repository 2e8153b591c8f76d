"""Of instances that choose the same engines at once, one keeps them."""

from __future__ import annotations

import asyncio

import attrs
import logbook
import looptime
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.application import Application
from cicadacourse.load import Assignment, LoadTable, Role
from cicadacourse.logs import PLACEMENT_YIELDED
from cicadacourse.membership import Member
from cicadacourse.placement import CONTENTION_WINDOW_S, PlacementRequest, must_yield
from tests.test_gateway.test_gateway_histories import FakeMembership, make_app

PART_S = 0.2
LONG = PlacementRequest("r", "engines", 1, 3.0, 2.0, 12.0, 210_000, 800, 0.8)
SHORT = PlacementRequest("s", "engines", 1, 0.3, 2.0, 2.0, 4000, 800, 0.2)


def parts(engines: list[int], read_s: float = PART_S) -> list[Assignment]:
    """Returns the runs of a prompt that is read on some engines."""
    writer, *helpers = engines
    runs = [Assignment(f"e{writer}", Role.DECODE, 0.0, prefill_s=read_s, gap_s=0.8)]
    runs += [
        Assignment(f"e{item}", Role.PREFILL, 0.0, prefill_s=read_s) for item in helpers
    ]
    return runs


def book_of_others(
    runs_by_instance: dict[str, list[Assignment]], own: str
) -> LoadTable:
    """Returns what one instance has heard of all others."""
    book = LoadTable()
    for name, runs in runs_by_instance.items():
        if name != own:
            book.replace_remote_assignments(name, runs)
    return book


CHOICES = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]),
    st.builds(
        parts,
        st.lists(st.integers(0, 5), min_size=1, max_size=4, unique=True),
        st.sampled_from([0.06, 0.2, 0.2004, 0.5]),
    ),
    min_size=2,
)


@given(CHOICES)
def test_of_those_that_overlap_one_gives_way_and_one_of_all_keeps_its_engines(
    choices: dict[str, list[Assignment]],
) -> None:
    giving_way = {
        name: must_yield(name, runs, book_of_others(choices, name), 0.02)
        for name, runs in choices.items()
    }
    assert not all(giving_way.values())
    for one, runs in choices.items():
        for other, others in choices.items():
            engines = {run.endpoint for run in runs}
            if one != other and engines & {run.endpoint for run in others}:
                assert giving_way[one] or giving_way[other]


def test_whose_parts_are_read_sooner_keeps_the_engines() -> None:
    choices = {"a": parts([1, 2]), "b": parts([2, 3], read_s=0.1)}
    assert must_yield("a", choices["a"], book_of_others(choices, "a"), 0.02)
    assert not must_yield("b", choices["b"], book_of_others(choices, "b"), 0.02)


def test_streams_that_are_written_or_short_make_nobody_give_way() -> None:
    written = parts([1], read_s=0.1)
    written[0].is_prefilled = True
    book = book_of_others({"a": written, "b": parts([1], read_s=0.02)}, "c")
    assert not must_yield("c", parts([1, 2]), book, 0.02)


def test_nobody_gives_way_for_long_to_reading_that_takes_longer_than_it_should() -> (
    None
):
    """Replays 80 instances: one prompt gave way 90 times to parts that were overdue."""
    overdue = [attrs.evolve(run, is_remote=True) for run in parts([1, 2], read_s=0.1)]
    book = book_of_others({"a": overdue}, "b")
    runs = parts([1, 3])
    for run in runs:
        run.started = 0.06
    assert must_yield("b", runs, book, now_s=0.08)
    assert not must_yield("b", runs, book, now_s=1.2)


async def _place_beside(
    need: PlacementRequest, others: list[Assignment]
) -> tuple[list[str], float]:
    """Places a request while another instance's choice is heard of.

    :returns: the engines that it got, and when.
    """
    app = _app_beside_another()
    loop = asyncio.get_running_loop()
    book: LoadTable = app.get("load").table
    loop.call_later(
        CONTENTION_WINDOW_S / 2, book.replace_remote_assignments, "another", others
    )
    loop.call_later(0.5, book.replace_remote_assignments, "another", ())
    async with app.get("placement").place(need) as result:
        runs = result.unwrap().assignments
        assert [run.endpoint for run in book.own_assignments()] == [
            run.endpoint for run in runs
        ]
        engines = [run.endpoint for run in runs]
    assert not book.own_assignments()
    return engines, loop.time()


def _app_beside_another() -> Application:
    app = make_app()
    membership: FakeMembership = app.get("membership")
    another = Member("another", "127.0.0.1:3", failure_domain="b")
    membership.members = lambda: [another, membership.self_member()]
    return app


def _run(need: PlacementRequest, others: list[Assignment]) -> tuple[list[str], float]:
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(_place_beside(need, others))


ALL_ENGINES = [f"engines-{number}" for number in range(3)]
SOONER = [Assignment(name, Role.PREFILL, 0.0, prefill_s=0.07) for name in ALL_ENGINES]
LATER = [Assignment(name, Role.PREFILL, 0.0, prefill_s=1.5) for name in ALL_ENGINES]


def test_a_long_prompt_waits_again_when_another_instance_keeps_its_engines() -> None:
    with logbook.TestHandler() as handler:
        engines, at = _run(LONG, SOONER)
        assert handler.has_info(PLACEMENT_YIELDED.text)
    assert engines and at > 0.1


def test_a_long_prompt_keeps_its_engines_from_one_that_takes_longer() -> None:
    engines, at = _run(LONG, LATER)
    assert len(engines) == 3 and at < 2 * CONTENTION_WINDOW_S


def test_a_short_prompt_never_waits_for_what_others_choose() -> None:
    _, at = _run(SHORT, SOONER)
    assert at < CONTENTION_WINDOW_S / 2
