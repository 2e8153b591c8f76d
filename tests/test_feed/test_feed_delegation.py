"""Tests of which instances read the store for their failure domain.

If all of them read it, the load on the store grows with the number of instances; if
none does, or an instance can't catch up, its tables grow stale.
"""

from __future__ import annotations

from cicadacourse.feed import STORE_READERS_PER_DOMAIN, ReadDelegation

NAMES = [f"a-{number}" for number in range(26)]


def test_only_two_instances_of_a_domain_read_the_store() -> None:
    delegations = {name: ReadDelegation(1.3) for name in NAMES}
    readers = [n for n in NAMES if delegations[n].is_store_reader(n, NAMES, now_s=10.0)]
    assert readers == NAMES
    for delegation in delegations.values():
        for name in readers[:]:
            delegation.record_read(name, age_s=0.2, now_s=10.0)
    readers = [n for n in NAMES if delegations[n].is_store_reader(n, NAMES, now_s=10.5)]
    assert len(readers) == STORE_READERS_PER_DOMAIN


def test_an_instance_reads_the_store_when_its_neighbours_stop_reading() -> None:
    delegation, own_name = _make_non_reader()
    assert not delegation.is_store_reader(own_name, NAMES, now_s=10.1)
    assert delegation.is_store_reader(own_name, NAMES, now_s=12.0)


def test_an_instance_that_stays_behind_reads_the_store() -> None:
    delegation, own_name = _make_non_reader()
    delegation.mark_behind("configuration", now_s=10.1)
    assert not delegation.is_store_reader(own_name, NAMES, now_s=10.2)
    assert delegation.is_store_reader(own_name, NAMES, now_s=10.6)
    delegation.mark_caught_up("configuration")
    assert not delegation.is_store_reader(own_name, NAMES, now_s=10.7)


def _make_non_reader() -> tuple[ReadDelegation, str]:
    """Returns an instance that leaves reading to others, who read last at 10 s."""
    delegation = ReadDelegation(1.3)
    for name in NAMES:
        delegation.record_read(name, age_s=0.0, now_s=10.0)
    own_name = next(
        n for n in NAMES if not delegation.is_store_reader(n, NAMES, now_s=10.1)
    )
    return delegation, own_name


def test_an_instance_that_has_started_waits_for_its_neighbours_reports() -> None:
    """It read the store again and again until it had heard of a neighbour's read."""
    delegation = ReadDelegation(1.3)
    names = [
        n for n in NAMES if not _make_non_reader()[0].is_store_reader(n, NAMES, 10.1)
    ]
    own_name = names[0]
    delegation.record_first_read(now_s=10.0)
    assert not delegation.is_store_reader(own_name, NAMES, now_s=11.2)
    assert delegation.is_store_reader(own_name, NAMES, now_s=11.4)
    delegation.record_first_read(now_s=10.0)
    delegation.mark_behind("registry", now_s=10.1)
    assert delegation.is_store_reader(own_name, NAMES, now_s=10.6)
