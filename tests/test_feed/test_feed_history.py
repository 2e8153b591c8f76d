"""Tests of which versions of the configuration are kept for others."""

from __future__ import annotations

from cicadacourse.feed import ConfigurationHistory, _history
from cicadacourse.feed._delta import apply_delta
from cicadacourse.feed._history import MAX_BYTES, MAX_VERSIONS, NO_VERSION


def _make_history(*versions: int, value_bytes: int = 100) -> ConfigurationHistory:
    history = ConfigurationHistory()
    for version in versions:
        history.put(version, b"%d" % version * value_bytes)
    return history


def test_an_empty_history_has_no_delta() -> None:
    history = ConfigurationHistory()
    assert (history.version, history.value) == (NO_VERSION, None)
    assert history.delta(NO_VERSION) is None


def test_deltas_lead_from_any_kept_version_to_the_newest() -> None:
    history = _make_history(3, 7, 8)
    for version in (NO_VERSION, 3, 7, 8):
        base = history.find(version)
        assert apply_delta(base, history.delta(version)) == history.value
    assert history.delta(4) is None


def test_only_the_newest_versions_are_kept() -> None:
    history = _make_history(*range(1, MAX_VERSIONS + 6))
    assert history.find(5) is None
    assert history.find(6) is not None
    assert history.version == MAX_VERSIONS + 5


def test_the_bytes_of_all_versions_are_bounded_but_the_newest_is_kept() -> None:
    history = _make_history(1, 2, 3, value_bytes=MAX_BYTES // 2)
    assert [history.find(version) is None for version in (1, 2, 3)] == [1, 0, 0]
    history.put(4, b"x" * (MAX_BYTES + 1))
    assert history.find(3) is None
    assert len(history.value) == MAX_BYTES + 1


def test_neighbours_that_ask_for_the_same_cost_one_computation(monkeypatch) -> None:
    made = []
    make_delta = _history.make_delta

    def count(base: bytes, target: bytes) -> bytes:
        made.append(base)
        return make_delta(base, target)

    monkeypatch.setattr(_history, "make_delta", count)
    history = _make_history(1, 2)
    for _ in range(26):
        history.delta(1)
        history.delta(NO_VERSION)
    assert len(made) == 2
    history.put(3, b"3")
    assert apply_delta(history.find(1), history.delta(1)) == b"3"
