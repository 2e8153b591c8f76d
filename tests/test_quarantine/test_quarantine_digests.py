"""A request that comes again has the same digest, and no other request has it."""

from __future__ import annotations

import attrs
import pytest

from cicadacourse.exchange import CallerRequest, Prompt
from cicadacourse.quarantine import make_digest
from cicadacourse.quarantine._digests import DIGEST_BYTES

REQUEST = CallerRequest(
    id="r1",
    method="POST",
    host="fleet.example",
    target="/look/x?a=1",
    key="k1",
    arrived=3.0,
    timeout_s=4.0,
    last_event_id=None,
    prompt=None,
    headers=(),
    body=b"the body",
)


@pytest.mark.parametrize(
    "change",
    [
        {"id": "r2"},
        {"arrived": 9.0},
        {"timeout_s": None},
        {"last_event_id": "7"},
        {"key": "another key of the organisation"},
        {"prompt": Prompt("m", 10, 10, ("a",))},
    ],
)
def test_what_changes_when_a_request_comes_again_is_left_out(
    change: dict[str, object],
) -> None:
    again = attrs.evolve(REQUEST, **change)
    assert make_digest(again, "acme") == make_digest(REQUEST, "acme")


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/look/x?a=2"},
        {"body": b"the Body"},
    ],
)
def test_other_requests_have_other_digests(change: dict[str, object]) -> None:
    other = attrs.evolve(REQUEST, **change)
    assert make_digest(other, "acme") != make_digest(REQUEST, "acme")


def test_the_same_request_of_another_organisation_has_another_digest() -> None:
    digests = {make_digest(REQUEST, name) for name in ("acme", "other", None)}
    assert len(digests) == 3


def test_no_bytes_pass_from_one_field_into_the_next() -> None:
    """The path of one request could otherwise hold the body of another."""
    moved = attrs.evolve(REQUEST, target="/look/x?a=1acm")
    assert make_digest(moved, "e") != make_digest(REQUEST, "acme")


def test_a_digest_is_small_whatever_the_size_of_the_body() -> None:
    large = attrs.evolve(REQUEST, body=b"x" * 1_000_000)
    assert len(make_digest(large, "acme")) == 2 * DIGEST_BYTES
