"""How a caller's headers are read."""

from __future__ import annotations

import pytest
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
