"""Bodies in chunks are decoded the same however their bytes are cut."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given

from cicadacourse.util.chunked_body import (
    MAX_INCOMPLETE_BYTES,
    MAX_PARTS_AT_ONCE,
    ChunkedBody,
    MalformedBody,
)

parts = st.lists(st.binary(min_size=1, max_size=300), max_size=40)
cuts = st.lists(st.integers(1, 700), max_size=30)


def _encode(items: list[bytes]) -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in items)
    return chunks + b"0\r\n\r\n"


def _decode(data: bytes, sizes: list[int]) -> tuple[bytes, ChunkedBody]:
    """Returns what is decoded of bytes that come in pieces, and the decoder."""
    decoder = ChunkedBody()
    body = b""
    for size in [*sizes, len(data)]:
        piece, data = data[:size], data[size:]
        if not piece:
            break
        decoder.receive(piece)
        while decoder.has_undecoded:
            body += decoder.decode()
    return body, decoder


@given(parts, cuts, st.binary(max_size=30))
def test_a_body_is_the_same_however_it_is_cut(
    items: list[bytes], sizes: list[int], trailing: bytes
) -> None:
    body, decoder = _decode(_encode(items) + trailing, sizes)
    assert body == b"".join(items)
    assert decoder.is_complete
    # What comes after the last piece that was needed is never received.
    assert trailing.startswith(decoder.trailing_data)


@given(st.binary(max_size=200) | st.text("0123456789abcdef;=\r\n x").map(str.encode))
def test_other_bytes_raise_nothing_else(data: bytes) -> None:
    try:
        whole, decoder = _decode(data, [])
    except MalformedBody:
        return
    cut, other = _decode(data, [1] * len(data))
    assert (cut, other.is_complete) == (whole, decoder.is_complete)


@pytest.mark.parametrize("start", [b"1;a=", b"0\r\na: "])
def test_extensions_and_trailers_are_bounded(start: bytes) -> None:
    with pytest.raises(MalformedBody):
        _decode(start + b"x" * (2 * MAX_INCOMPLETE_BYTES), [1000] * 100)


def test_only_small_parts_have_to_wait_for_slices() -> None:
    """A client that sent chunks of one byte stopped the event loop."""
    _, small = _decode(_encode([b"x"] * (2 * MAX_PARTS_AT_ONCE)), [])
    _, large = _decode(_encode([b"x" * 256] * (2 * MAX_PARTS_AT_ONCE)), [])
    assert (small.must_wait, large.must_wait) == (True, False)
