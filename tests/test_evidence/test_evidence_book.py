"""Facts converge in any order, expire, and are bounded in number."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.evidence import FACT_KINDS, Fact, FactBook, FactKind
from cicadacourse.evidence._dissemination import (
    MAX_NEWS,
    REFRESH_PERIOD_S,
    REPEAT_TIMES_S,
    Dissemination,
)
from cicadacourse.evidence._messages import decode_facts, encode_facts
from cicadacourse.peers import MalformedMessage

FACT_KINDS.register("test-latest")(FactKind(10.0, 5, is_latest_only=True))
FACT_KINDS.register("test-all")(FactKind(10.0, 5, is_latest_only=False))

FACTS = st.lists(
    st.builds(
        Fact,
        kind=st.sampled_from(["test-latest", "test-all"]),
        key=st.sampled_from(["a", "b"]),
        id=st.integers(0, 2),
        value=st.just(0.0),
        observed_at=st.integers(0, 2).map(float),
    ),
    max_size=4,
    unique_by=lambda item: item.identity,
)


def book_of(facts: tuple[Fact, ...] | list[Fact]) -> FactBook:
    book = FactBook()
    for fact in facts:
        book.add(fact, 2.0)
    return book


@given(FACTS)
def test_the_order_and_repetition_of_facts_do_not_matter(facts: list[Fact]) -> None:
    expected = set(book_of(facts).all(2.0))
    for order in itertools.permutations(facts):
        assert set(book_of(order + order).all(2.0)) == expected


def test_a_fact_no_longer_counts_after_its_lifetime() -> None:
    book = book_of([Fact("test-all", "a", 1, 0.0, 0.0)])
    assert book.find("test-all", "a", 9.9)
    assert not book.find("test-all", "a", 10.0)
    assert not book.all(10.0)
    assert not book.keys("test-all")
    assert not book.add(Fact("test-all", "a", 1, 0.0, 0.0), 10.0)


def test_the_number_of_facts_is_bounded() -> None:
    facts = [Fact("test-all", f"k{n}", n, 0.0, n / 100) for n in range(50)]
    book = book_of(facts)
    assert book.all(2.0) == facts[-5:]


def test_facts_survive_the_way_to_another_instance() -> None:
    fact = Fact("test-all", "a", 2**63 - 1, 0.25, 1.0)
    assert decode_facts(encode_facts([fact], 3.5), 3.5) == [fact]
    assert encode_facts([], 0.0) == b""
    with pytest.raises(MalformedMessage):
        decode_facts(b"\xff\xff\xff", 0.0)


def test_facts_of_an_unknown_kind_are_left_out() -> None:
    """A later release may send kinds that this one doesn't know."""
    known = Fact("test-all", "a", 1, 0.0, 1.0)
    unknown = Fact("later", "a", 1, 0.0, 1.0)
    assert decode_facts(encode_facts([unknown, known], 1.0), 1.0) == [known]


def test_news_goes_with_several_reports_at_growing_intervals() -> None:
    fact = Fact("test-all", "a", 1, 0.0, 0.0)
    dissemination = Dissemination()
    dissemination.select([fact], 0.0)
    dissemination.add(fact, 0.0)
    times = [n / 100 for n in range(99)]
    sent = [at for at in times if dissemination.select([fact], at)]
    assert sent == pytest.approx(REPEAT_TIMES_S)


def test_all_facts_are_repeated_in_turn() -> None:
    """An instance that started later learned nothing of what came before."""
    facts = [Fact("test-all", f"k{n}", n, 0.0, 0.0) for n in range(20)]
    dissemination = Dissemination()
    seen = set()
    for turn in range(3):
        seen |= set(dissemination.select(facts, turn * REFRESH_PERIOD_S))
    assert seen == set(facts)


def test_news_that_are_never_sent_are_bounded() -> None:
    """A single instance sends no reports."""
    dissemination = Dissemination()
    for number in range(MAX_NEWS + 10):
        dissemination.add(Fact("test-all", "a", number, 0.0, 0.0), 0.0)
    assert len(dissemination._news_by_identity) == MAX_NEWS
