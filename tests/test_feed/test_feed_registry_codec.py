"""Tests of the registry's encoding for other instances."""

from __future__ import annotations

import pytest

from cicadacourse.catalog import Endpoint, EndpointState, ListedEndpoint
from cicadacourse.feed._registry_codec import (
    RegistryEncoder,
    make_registry,
    read_endpoints,
)
from cicadacourse.load import Registry
from cicadacourse.peers import encode

# The project's target.
ENDPOINTS = 940
NEIGHBOURS = 26
MAX_REPLY_BYTES = 30_000


def _make_endpoints(count: int = ENDPOINTS) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(
            Endpoint(
                id=f"worker-{number}",
                pool=f"pool-{number % 12}",
                address=f"10.200.{number // 250}.{number % 250}:8668",
                failure_domain="abc"[number % 3],
                slots=64,
                state=EndpointState.READY,
                started_ms=1_773_202_948_828 + number * 7919,
            ),
            cold_left_s=2.5 * (number % 3 == 0),
        )
        for number in range(count)
    ]


def test_a_large_registry_takes_a_fraction_of_its_bytes() -> None:
    endpoints = _make_endpoints()
    reply = RegistryEncoder().encode(endpoints, 7)
    assert read_endpoints(reply) == endpoints
    assert reply.offset == 7
    assert len(encode(reply)) < MAX_REPLY_BYTES


def test_a_registry_that_lists_its_endpoints_can_still_be_read() -> None:
    endpoints = _make_endpoints(3)
    assert read_endpoints(make_registry(endpoints, 7)) == endpoints


def test_a_registry_is_encoded_again_only_if_it_has_changed() -> None:
    encoder, endpoints = RegistryEncoder(), _make_endpoints(3)
    replies = [encoder.encode(list(endpoints), 7) for _ in range(NEIGHBOURS)]
    assert all(reply is replies[0] for reply in replies)
    assert encoder.encode(endpoints, 8).offset == 8
    assert read_endpoints(encoder.encode(endpoints[:2], 8)) == endpoints[:2]


@pytest.mark.parametrize("packed", [b"odd", bytes(60)])
def test_a_malformed_registry_is_refused(packed: bytes) -> None:
    with pytest.raises(ValueError):
        read_endpoints(Registry(offset=7, packed=packed))
