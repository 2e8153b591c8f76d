"""What an instance believes of evacuated failure domains, in any history of messages.

Messages about an evacuation come late, twice and out of order, from the store and from
other instances. An older one must neither end an evacuation nor bring one back.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadacourse.catalog import Evacuation, Evacuations
from cicadacourse.catalog._evacuations import MAX_FAILURE_DOMAINS

DOMAINS = ("a", "b", "c")


@st.composite
def _histories(draw: st.DrawFn) -> tuple[list[Evacuation], list[Evacuation]]:
    """Returns the store's records, and some of them as they reach an instance."""
    records = [
        Evacuation(draw(st.sampled_from(DOMAINS)), draw(st.booleans()), position)
        for position in range(1, draw(st.integers(1, 12)) + 1)
    ]
    received = draw(st.lists(st.sampled_from(records), max_size=30))
    return records, received


@settings(max_examples=300, derandomize=True)
@given(_histories())
def test_the_newest_statement_counts_in_any_order(
    history: tuple[list[Evacuation], list[Evacuation]],
) -> None:
    records, received = history
    changes: list[Evacuation] = []
    evacuations = Evacuations(lambda item, _: changes.append(item))
    for item in received:
        evacuations.apply(item, "peers")
    for domain in DOMAINS:
        known = [item for item in received if item.failure_domain == domain]
        newest = max(known, key=lambda item: item.position, default=None)
        assert (domain in evacuations) == bool(newest and newest.is_in_force)
    for item in records:
        evacuations.apply(item, "store")
    last_by_domain = {item.failure_domain: item for item in records}
    for domain, last in last_by_domain.items():
        assert (domain in evacuations) == last.is_in_force
    in_force: set[str] = set()
    for change in changes:
        # Each change is told once.
        assert (change.failure_domain in in_force) != change.is_in_force
        in_force ^= {change.failure_domain}


@settings(max_examples=300, derandomize=True)
@given(_histories(), st.integers(0, 12))
def test_a_snapshot_ends_only_evacuations_that_are_older_and_not_in_it(
    history: tuple[list[Evacuation], list[Evacuation]], end: int
) -> None:
    """The store keeps the newest record of each key, and none of withdrawn ones."""
    records, received = history
    newest = {
        item.failure_domain: item for item in records if item.position < max(end, 1)
    }
    snapshot = [item for item in newest.values() if item.is_in_force]
    evacuations = Evacuations(lambda *_: None)
    for item in received:
        evacuations.apply(item, "peers")
    evacuations.apply_all(snapshot, max(end, 1), "store")
    for domain in DOMAINS:
        later = [
            item
            for item in received
            if item.failure_domain == domain and item.position >= max(end, 1)
        ]
        at_end = domain in {item.failure_domain for item in snapshot}
        if later:
            expected = max(later, key=lambda item: item.position).is_in_force
        else:
            expected = at_end
        assert (domain in evacuations) == expected


def test_what_is_kept_of_failure_domains_is_bounded() -> None:
    """Keys that name no failure domain may come from any operator."""
    evacuations = Evacuations(lambda *_: None)
    for number in range(3 * MAX_FAILURE_DOMAINS):
        evacuations.apply(Evacuation(f"d{number}", number % 2 == 0, number + 1), "x")
    assert len(evacuations.all) == MAX_FAILURE_DOMAINS
    assert "d0" in evacuations
