"""How a caller's headers are read."""

from __future__ import annotations

import math

import hypothesis.strategies as st
import pytest
from hypothesis import given
from tornado.httputil import HTTPHeaders, RequestStartLine

from cicadacourse.exchange import CallerRequest
from cicadacourse.platform._caller_request import MAX_SHARED_PARTS, read_request


def read(parts: str) -> CallerRequest:
    headers = HTTPHeaders(
        {
            "X-Cicadacourse-Token-Usage": "1460,80",
            "X-Cicadacourse-Model": "m",
            "X-Cicadacourse-Prompt-Prefix": parts,
        }
    )
    start = RequestStartLine("POST", "/ask/x", "HTTP/1.1")
    return read_request(start, headers, b"", 0.0)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (" a:1 , b:2 , c:3", ("a", "b")),
        ("a:1,a:1,b:2", ("a",)),
        ("a:1", ()),
        ("", ()),
        (",,:,x", ()),
        (f"{'f' * 65}:1,b:2,c:3", ("b",)),
    ],
)
def test_the_parts_that_other_prompts_may_share_are_read(
    text: str, expected: tuple[str, ...]
) -> None:
    request = read(text)
    assert request.prompt.shared_part_ids == expected
    header = next(item for item in request.headers if item.name.endswith("Prefix"))
    assert header.value == text


def test_the_number_of_parts_is_bounded() -> None:
    text = ",".join(f"{number:x}:1" for number in range(500))
    assert len(read(text).prompt.shared_part_ids) == MAX_SHARED_PARTS


header_texts = st.text(st.characters(max_codepoint=255, exclude_categories=["Cc"]))


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "X-Cicadacourse-Deadline-Ms",
                "X-Cicadacourse-Token-Usage",
                "X-Cicadacourse-Prompt-Prefix",
                "Authorization",
                "Connection",
                "Last-Event-Id",
            ]
        ),
        header_texts
        | st.from_regex("-?[0-9]{0,400}(,[0-9]*)?(e[0-9]+)?", fullmatch=True)
        | st.sampled_from(["nan", "inf", "-inf", "1e999", "0", "Bearer "]),
    )
)
def test_whatever_headers_say_they_are_read_or_malformed(
    text_by_name: dict[str, str],
) -> None:
    """A time limit that is no number was taken for a deadline."""
    start = RequestStartLine("POST", "/ask/x", "HTTP/1.1")
    try:
        request = read_request(start, HTTPHeaders(text_by_name), b"", 0.0)
    except ValueError:
        return
    assert request.timeout_s is None or math.isfinite(request.timeout_s)


@pytest.mark.parametrize("text", ["nan", "inf", "1e999"])
def test_a_time_limit_that_is_not_finite_is_malformed(text: str) -> None:
    headers = HTTPHeaders({"X-Cicadacourse-Deadline-Ms": text})
    start = RequestStartLine("GET", "/look/x", "HTTP/1.1")
    with pytest.raises(ValueError, match="not finite"):
        read_request(start, headers, b"", 0.0)
