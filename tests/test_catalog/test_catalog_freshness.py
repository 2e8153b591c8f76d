"""Tests which evidence lets a version of the configuration decide on requests."""

from __future__ import annotations

import asyncio

import looptime

from cicadacourse.catalog import ConfigurationFreshness

BOUND_S = 3.0


def fresh_at(now_s: float) -> ConfigurationFreshness:
    """Returns the freshness of version 5, which others reported newest at a time."""
    freshness = ConfigurationFreshness(BOUND_S)
    freshness.put_in_force(5, now_s)
    freshness.confirm(5, now_s, now_s)
    return freshness


def test_nothing_is_denied_without_evidence() -> None:
    freshness = ConfigurationFreshness(BOUND_S)
    freshness.put_in_force(5, 0.0)
    assert not freshness.may_deny(0.0)
    assert freshness.may_serve(0.0)


def test_evidence_allows_denials_for_less_than_the_bound() -> None:
    freshness = fresh_at(10.0)
    assert freshness.may_deny(12.0)
    assert not freshness.may_deny(10.0 + BOUND_S)


def test_evidence_without_denials_still_serves() -> None:
    assert fresh_at(10.0).may_serve(1000.0)


def test_a_newer_version_ends_denials_at_once_and_serving_within_the_bound() -> None:
    freshness = fresh_at(10.0)
    assert freshness.hear_of(7, 10.5)
    assert not freshness.may_deny(10.5)
    assert freshness.may_serve(11.0)
    assert not freshness.may_serve(10.5 + BOUND_S)


def test_the_time_behind_counts_from_the_oldest_newer_version() -> None:
    """With a new version each second, none is behind for long, but the sum is."""
    freshness = fresh_at(10.0)
    for second in range(5):
        freshness.hear_of(6 + second, 10.0 + second)
    assert freshness.superseded_for_s(14.0) == 4.0
    freshness.put_in_force(8, 14.0)
    assert freshness.superseded_for_s(14.0) == 1.0
    assert freshness.newest_version == 10


def test_evidence_of_a_version_that_is_not_yet_in_force_is_kept() -> None:
    freshness = fresh_at(10.0)
    freshness.confirm(6, 11.0, 11.1)
    freshness.put_in_force(6, 11.2)
    assert freshness.confirmed_at == 11.0
    assert freshness.may_deny(11.2)


def test_old_and_unknown_versions_are_no_evidence() -> None:
    freshness = fresh_at(10.0)
    freshness.confirm(4, 20.0, 20.0)
    assert not freshness.hear_of(0, 20.0)
    assert freshness.confirmed_at == 10.0


def test_older_evidence_does_not_replace_newer() -> None:
    freshness = fresh_at(10.0)
    freshness.confirm(5, 9.0, 12.0)
    assert freshness.confirmed_at == 10.0


def test_news_end_a_wait() -> None:
    async def wait() -> tuple[bool, bool]:
        freshness = fresh_at(0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, freshness.put_in_force, 6, 0.2)
        return await freshness.wait_for_news(1.0), await freshness.wait_for_news(1.0)

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        assert runner.run(wait()) == (True, False)


def test_a_later_read_of_the_store_disproves_a_report() -> None:
    """One report of a version that nobody has stopped an instance for good."""
    freshness = fresh_at(10.0)
    freshness.hear_of(99, 10.5)
    freshness.record_read(10.4)
    assert not freshness.may_deny(10.6)
    freshness.record_read(10.7)
    assert freshness.may_deny(10.8)
    assert freshness.newest_version == 5
    assert freshness.may_serve(1000.0)


def test_evidence_received_from_others_is_not_reported_as_own() -> None:
    """It seemed younger with each hop, and came back to the instance it was from."""
    freshness = fresh_at(10.0)
    assert freshness.read_at == float("-inf")
    freshness.record_read(9.0)
    assert (freshness.read_at, freshness.confirmed_at) == (9.0, 10.0)


def test_reports_that_waited_during_a_stall_are_no_evidence() -> None:
    """A report that waited in the socket for 5 s seemed to have just been sent."""
    freshness = fresh_at(10.0)
    freshness.tick(10.0)
    freshness.tick(10.25)
    freshness.confirm(5, 15.2, 15.3)
    assert freshness.confirmed_at == 10.0
    freshness.tick(15.3)
    freshness.confirm(5, 15.3, 15.4)
    assert freshness.confirmed_at == 10.0
    for tick in range(1, 5):
        freshness.tick(15.3 + 0.25 * tick)
    freshness.confirm(5, 16.2, 16.4)
    assert freshness.confirmed_at == 16.2
