"""Tests of the store's client: errors of failed calls, and appends are sent once."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import AsyncIterator

import pytest
from returns.result import Failure

from cicadacourse.errors import ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform import StoreClient, StoreSettings
from cicadacourse.platform._records import KeyedBatch, parse_batch
from standins.platform import Fleet
from standins.ports import next_host
from tests.scripted_server import Script, scripted_server

TOPIC = "keyed.notes"
EMPTY_PAGE = (200, {"items": [], "hasMore": False, "end": 0})


@contextlib.asynccontextmanager
async def client_of(address: str) -> AsyncIterator[StoreClient]:
    """Yields a client of the store at an address."""
    settings = StoreSettings(address=address, timeout_s=5.0)
    with contextlib.closing(StoreClient(settings, Metrics())) as store:
        yield store


async def failed_put(script: Script) -> ErrorKind:
    """Returns the kind of the error of one append that fails."""
    with scripted_server(script) as address:
        async with client_of(address) as store:
            return (await store.put(TOPIC, "k", b"v")).failure().kind


@pytest.mark.parametrize(
    ("response", "kind"),
    [
        ((503, {}), ErrorKind.STORE_UNAVAILABLE),
        ((429, {}), ErrorKind.STORE_UNAVAILABLE),
        ((507, {}), ErrorKind.STORE_UNAVAILABLE),
        ((403, {}), ErrorKind.FORBIDDEN),
        ((412, {"end": 3}), ErrorKind.VERSION_CONFLICT),
        ((500, {}), ErrorKind.STORE_OUTCOME_UNKNOWN),
        ((410, {"first": 3}), ErrorKind.STORE_OUTCOME_UNKNOWN),
        (None, ErrorKind.STORE_OUTCOME_UNKNOWN),
    ],
)
async def test_an_append_is_unavailable_only_if_it_surely_took_no_effect(
    response: tuple[int, object] | None, kind: ErrorKind
) -> None:
    assert await failed_put(lambda *request: response) is kind


async def test_an_append_whose_connection_is_refused_took_no_effect() -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = "127.0.0.1:%d" % probe.getsockname()[1]
        async with client_of(address) as store:
            error = (await store.put(TOPIC, "k", b"v")).failure()
    assert error.kind is ErrorKind.STORE_UNAVAILABLE


async def test_only_a_read_of_deleted_records_is_trimmed() -> None:
    with scripted_server(lambda *request: (410, {"first": 3})) as address:
        async with client_of(address) as store:
            assert (await store.read(TOPIC, 1, 0.0)).unwrap().is_trimmed
            assert isinstance(await store.read_newest(TOPIC), Failure)


@pytest.mark.parametrize(
    "response", [(503, {}), (200, {"items": [{}]}), (200, []), (200, 3), None]
)
async def test_a_read_that_is_malformed_or_fails_is_a_failure(
    response: tuple[int, object] | None,
) -> None:
    with scripted_server(lambda *request: response) as address:
        async with client_of(address) as store:
            assert (await store.read_newest(TOPIC)).failure().kind in (
                ErrorKind.STORE_UNAVAILABLE,
                ErrorKind.STORE_OUTCOME_UNKNOWN,
            )


async def count_appends_on_a_broken_connection() -> int:
    """Counts how often an append is sent if its reused connection breaks."""
    appends = []

    def script(method: str, uri: str, body: bytes) -> tuple[int, object] | None:
        if method == "POST":
            appends.append(body)
            return None
        return EMPTY_PAGE

    with scripted_server(script) as address:
        async with client_of(address) as store:
            (await store.read_newest(TOPIC)).unwrap()
            await store.put(TOPIC, "k", b"v")
    return len(appends)


async def test_an_append_whose_connection_dies_is_sent_once() -> None:
    assert await count_appends_on_a_broken_connection() == 1


async def test_without_a_fresh_connection_curl_sends_an_append_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cicadacourse.util.http._get_curl_setup", lambda method: None)
    assert await count_appends_on_a_broken_connection() == 2


async def test_a_read_that_is_cut_at_its_size_limit_skips_no_record() -> None:
    """The end offset of a response is the topic's, not that of the records in it.

    An instance that had fallen behind took it for the offset of its next read, and so
    skipped the newest configurations.
    """
    fleet = Fleet(next_host())
    values = [bytes([number]) * 250_000 for number in range(1, 11)]
    async with fleet.running(), client_of(fleet.store_address) as store:
        for value in values:
            fleet.store.put("keyed.op", "config", value)
        read: list[bytes | None] = []
        offset = 0
        while len(read) < len(values):
            batch = (await store.read("keyed.op", offset, 0.0)).unwrap()
            assert batch.records
            read += [record.value for record in batch.records]
            offset = batch.end
        assert read == values


async def _read_all(store: StoreClient, offset: int) -> list[KeyedBatch]:
    """Reads on from the end of each batch until there are no more records."""
    batches = []
    while (batch := (await store.read(TOPIC, offset, wait_s=0)).unwrap()).records:
        batches.append(batch)
        offset = batch.end
    return batches


async def test_a_read_goes_on_after_the_last_record_that_the_one_before_returned() -> (
    None
):
    """A response is limited to 1 MB; what does not fit must not be skipped."""
    fleet = Fleet(next_host())
    values = [b"%d" % number * 230_000 for number in range(6)]
    async with fleet.running(), client_of(fleet.store_address) as store:
        for value in values:
            fleet.store.put(TOPIC, "k", value)
        batches = await _read_all(store, 0)
    assert [record.value for batch in batches for record in batch.records] == values
    assert [batch.end for batch in batches] == [4, 6]
    assert [batch.has_more for batch in batches] == [True, False]


def test_a_response_without_the_records_that_it_names_is_malformed() -> None:
    """It was taken for the end of the topic, so that its records were never read."""
    body = struct.pack(">QQ", 9, 0)
    with pytest.raises(ValueError, match="no record"):
        parse_batch(body, offset=4)
    assert parse_batch(body, offset=9).end == 9
