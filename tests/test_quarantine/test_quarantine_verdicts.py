"""Which parts are blamed for crashes: a bad one, not those there by chance."""

from __future__ import annotations

from cicadacourse.quarantine import (
    Crash,
    CrashRecord,
    Verdict,
    choose_blamed,
    judge,
)


def record(
    part: str, *crash_ids: int, succeeded_at: float | None = None, weight: float = 1.0
) -> CrashRecord:
    """Returns a record whose crashes come at the second of their ids."""
    crashes = tuple(Crash(id, weight, float(id)) for id in crash_ids)
    return CrashRecord(part, crashes, succeeded_at)


def test_one_crash_suspects_a_part_and_two_quarantine_it() -> None:
    verdicts = judge([record("a", 1), record("b", 2, 3)])
    assert not verdicts["a"].is_quarantined
    assert verdicts["b"].is_quarantined
    assert verdicts["a"].trial_interval_s < verdicts["b"].trial_interval_s


def test_each_further_crash_doubles_the_interval_up_to_a_bound() -> None:
    intervals = [
        judge([record("a", *range(1, 2 + n))])["a"].trial_interval_s
        for n in range(1, 10)
    ]
    assert intervals[1] == 2 * intervals[0]
    assert intervals[-1] == intervals[-2]


def test_a_success_since_the_crashes_clears_a_part() -> None:
    assert not judge([record("a", 1, 2, succeeded_at=3.0)])
    assert judge([record("a", 1, 2, 4, 5, succeeded_at=3.0)])


def test_a_part_that_was_sound_needs_one_more_crash() -> None:
    assert not judge([record("a", 1, succeeded_at=0.5)])
    assert judge([record("a", 1, 2, succeeded_at=0.5)])["a"].weight == 1.0


def test_crashes_before_a_response_weigh_less() -> None:
    assert not judge([record("a", 1, weight=0.5)])
    assert judge([record("a", 1, 2, weight=0.5)])


def test_a_part_in_quarantine_explains_crashes_under_others() -> None:
    """Sound requests were in progress at the endpoints that a bad part crashed."""
    verdicts = judge([record("bad", 1, 2, 3), record("victim", 2, 3)])
    assert set(verdicts) == {"bad"}


def test_two_bad_parts_are_both_found() -> None:
    verdicts = judge([record("bad", 1, 2, 3), record("worse", 3, 4, 5)])
    assert set(verdicts) == {"bad", "worse"}


def test_parts_with_the_same_crashes_are_both_quarantined() -> None:
    verdicts = judge([record("bad", 1, 2), record("always-with-it", 1, 2)])
    assert all(item.is_quarantined for item in verdicts.values())
    assert len(verdicts) == 2


def test_all_parts_of_a_request_that_had_begun_are_blamed() -> None:
    """A rare part that no request succeeded with hid one that had turned bad."""
    records = [record("first", succeeded_at=5.0), record("turned"), record("new")]
    expected = ["first", "turned", "new"]
    assert choose_blamed(records, has_begun=True) == expected


def test_a_request_without_a_response_blames_only_parts_that_never_succeeded() -> None:
    records = [record("first", succeeded_at=5.0)]
    assert choose_blamed(records, has_begun=False) == []
    assert choose_blamed([*records, record("new")], has_begun=False) == ["new"]


def test_nothing_is_blamed_without_shared_parts() -> None:
    assert choose_blamed([], has_begun=True) == []


def judge_requests(*records: CrashRecord) -> dict[str, Verdict]:
    return judge([], records)


def test_a_request_blamed_for_one_crash_has_a_turn_of_its_own() -> None:
    verdicts = judge_requests(record("a", 1), record("b", 1))
    assert verdicts["a"].turn and verdicts["b"].turn
    assert verdicts["a"].turn != verdicts["b"].turn


def test_two_crashes_of_different_processes_quarantine_a_request() -> None:
    assert judge_requests(record("a", 1, 2))["a"].is_quarantined
    assert not judge_requests(record("a", 1, 1))["a"].is_quarantined


def test_a_request_that_was_sound_needs_one_more_crash() -> None:
    verdicts = judge_requests(record("a", 1, 2, succeeded_at=0.5))
    assert not verdicts["a"].is_quarantined and verdicts["a"].turn
    verdicts = judge_requests(record("a", 1, 2, 3, succeeded_at=0.5))
    assert verdicts["a"].is_quarantined


def test_a_success_since_the_crashes_clears_a_request() -> None:
    assert not judge_requests(record("a", 1, 2, succeeded_at=3.0))


def test_a_request_in_quarantine_explains_the_crashes_of_its_victims() -> None:
    verdicts = judge_requests(record("bad", 1, 2, 3), record("victim", 2, 3))
    assert set(verdicts) == {"bad"}


def test_requests_that_share_a_crash_take_turns_until_one_stands_out() -> None:
    """A victim that was retried beside the bad one looks the same as that."""
    verdicts = judge_requests(record("bad", 1, 2), record("victim", 1, 2))
    assert verdicts["bad"].turn == verdicts["victim"].turn is not None
    assert not any(item.is_quarantined for item in verdicts.values())
    verdicts = judge_requests(
        record("bad", 1, 2), record("victim", 1, 2, succeeded_at=3.0)
    )
    assert set(verdicts) == {"bad"} and verdicts["bad"].is_quarantined


def test_two_bad_requests_with_crashes_of_their_own_are_both_quarantined() -> None:
    verdicts = judge_requests(record("bad", 1, 2), record("worse", 3, 4))
    assert all(item.is_quarantined for item in verdicts.values())
    assert len(verdicts) == 2


def test_a_bad_request_explains_waiting_parts_but_no_part_of_several() -> None:
    """Parts that no other prompt had used were held back for its crashes."""
    bad = [record("first", 1, 2), record("second", 3, 4)]
    victim_of_one = record("part", 1, 2, weight=0.5)
    assert "part" not in judge([victim_of_one], bad)
    assert "part" in judge([record("part", 1, 2, 3, weight=0.5)], bad)
    assert "part" in judge([record("part", 1, 2, weight=1.0)], bad)


def test_a_part_in_quarantine_explains_the_crashes_of_its_requests() -> None:
    verdicts = judge([record("part", 1, 2, 3)], [record("request", 2, 3)])
    assert set(verdicts) == {"part"}
