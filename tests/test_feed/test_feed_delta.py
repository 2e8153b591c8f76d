"""Tests that a delta yields the bytes that it was made from, or is refused."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.feed._delta import MAX_RESULT_BYTES, apply_delta, make_delta
from tests.test_feed.relay_cluster import encode_configuration

MAX_CHANGE_BYTES = 1000
MAX_WHOLE_BYTES = 30_000
# Rows that repeat, with and without ends, some shorter than a copy may be.
ROWS = st.sampled_from(
    [b'{"name":"a row that is copied"},', b'{"name":"another long row"},', b"{},", b"x"]
)
VALUES = st.lists(ROWS | st.binary(max_size=24), max_size=12).map(b"".join)


@given(base=VALUES, target=VALUES)
def test_a_delta_turns_any_base_into_any_target(base: bytes, target: bytes) -> None:
    assert apply_delta(base, make_delta(base, target)) == target


@given(base=VALUES, other=VALUES, target=VALUES)
def test_a_delta_is_refused_with_another_base(
    base: bytes, other: bytes, target: bytes
) -> None:
    if other != base:
        with pytest.raises(ValueError):
            apply_delta(other, make_delta(base, target))


@given(base=VALUES, target=VALUES, data=st.data())
def test_a_damaged_delta_never_yields_another_result(
    base: bytes, target: bytes, data: st.DataObject
) -> None:
    """Some bits, such as the compression's level, change nothing in the result."""
    delta = bytearray(make_delta(base, target))
    position = data.draw(st.integers(0, len(delta) - 1))
    delta[position] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(ValueError):
        assert apply_delta(base, bytes(delta)) == target


@given(base=VALUES, target=VALUES, data=st.data())
def test_a_delta_that_is_cut_short_or_continued_is_refused(
    base: bytes, target: bytes, data: st.DataObject
) -> None:
    delta = make_delta(base, target)
    length = data.draw(st.integers(0, len(delta) - 1))
    for damaged in (delta[:length], delta + b"\x00"):
        with pytest.raises(ValueError):
            apply_delta(base, damaged)


@given(delta=st.binary(max_size=100))
def test_arbitrary_bytes_are_refused(delta: bytes) -> None:
    with pytest.raises(ValueError):
        apply_delta(b"base", delta)


def test_a_change_of_one_row_of_many_takes_few_bytes() -> None:
    base, target = encode_configuration(1), encode_configuration(2)
    assert len(base) > 200_000
    assert len(make_delta(base, target)) < MAX_CHANGE_BYTES


def test_added_removed_and_moved_rows_take_few_bytes() -> None:
    base = encode_configuration(1)
    first, *rows, last = base.split(b"},")
    del rows[40]
    rows.insert(700, b'{"name":"added"')
    rows.insert(10, rows.pop(900))
    target = b"},".join([first, *rows, last])
    delta = make_delta(base, target)
    assert apply_delta(base, delta) == target
    assert len(delta) < MAX_CHANGE_BYTES


def test_a_whole_configuration_is_compressed() -> None:
    target = encode_configuration(1)
    delta = make_delta(b"", target)
    assert apply_delta(b"", delta) == target
    assert len(delta) < MAX_WHOLE_BYTES


def test_a_value_without_rows_is_encoded_whole() -> None:
    target = random.Random(1).randbytes(262_144)
    delta = make_delta(target[::-1], target)
    assert apply_delta(target[::-1], delta) == target
    assert len(delta) < len(target) * 1.01


def test_a_result_that_is_too_long_is_refused() -> None:
    delta = make_delta(b"", b"x" * (MAX_RESULT_BYTES + 1))
    with pytest.raises(ValueError, match="result of"):
        apply_delta(b"", delta)
