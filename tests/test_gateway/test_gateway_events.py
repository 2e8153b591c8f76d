"""The event splitter returns whole events however the stream's bytes are chunked.

Otherwise a caller could receive a part of an event before its endpoint fails, and a
resumed stream would repeat or lose events.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.gateway._events import EventSplitter


@given(
    st.lists(st.text("abc:\t ", max_size=8), max_size=8),
    st.lists(st.integers(min_value=1, max_value=9), min_size=1),
    st.sampled_from(["\n", "\r\n"]),
)
def test_whole_events_come_out_once_and_in_order(
    texts: list[str], chunk_sizes: list[int], end: str
) -> None:
    stream = "".join(
        f"id: {number}{end}data: {text}{end}{end}" for number, text in enumerate(texts)
    ).encode()
    splitter = EventSplitter()
    emitted = b""
    offset = 0
    for number in range(len(stream)):
        size = chunk_sizes[number % len(chunk_sizes)]
        emitted += splitter.feed(stream[offset : offset + size])
        ids = emitted.count(b"id: ")
        assert splitter.last_id == (str(ids - 1) if ids else None)
        offset += size
    assert emitted == stream
    assert not splitter.has_partial


def test_an_event_that_is_cut_short_is_never_returned() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 7\ndata: a\n\nid: 8\ndata: b\n") == b"id: 7\ndata: a\n\n"
    splitter.discard_partial()
    assert splitter.feed(b"id: 8\ndata: b\n\n") == b"id: 8\ndata: b\n\n"
    assert splitter.last_id == "8"
