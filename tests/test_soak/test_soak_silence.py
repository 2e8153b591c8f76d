"""Tests of the soak's checks of endpoints and connections that fall silent.

If an instance gave up what an endpoint had begun and the checks passed over it, callers
would lose responses that were on their way. If they judged what only crossed the end of
a connection, they would report faults of the soak's own.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from soak._callers import BOOKING, LOOKUP
from soak._exchange_history import (
    CLOSING_SLACK_S,
    MIN_COUNTED,
    ExchangeHistory,
)
from soak._proxy import LinkState, Proxy
from soak._silence_scenario import OWN_LIMIT_S
from standins.platform import Arrival, Worker
from standins.ports import free_port
from tests.test_soak.histories import make_attempt, make_instance

HOST = "127.0.0.1"
# Long enough for bytes on loopback, short enough to wait for their absence.
PASSING_S = 0.3


@pytest.mark.parametrize("status", [0, 502, 504])
@pytest.mark.parametrize("kind", [BOOKING, LOOKUP])
async def test_an_exchange_that_is_given_up_too_soon_breaks_an_invariant(
    kind, status
) -> None:
    worker = _make_worker("a")
    early = _make_history([(kind, status, 0.0, OWN_LIMIT_S - 0.1, "a")], worker)
    assert len(early.find_given_up()) == 1
    late = _make_history([(kind, status, 0.0, OWN_LIMIT_S + 0.1, "a")], worker)
    assert not late.find_given_up()
    served = _make_history([(kind, 200, 0.0, OWN_LIMIT_S - 0.1, "a")], worker)
    assert not served.find_given_up()


async def test_only_a_request_that_reached_no_endpoint_may_cross_a_close() -> None:
    crossing = (LOOKUP, 0, 0.0, CLOSING_SLACK_S - 0.1, "a")
    assert not _make_history([crossing], _make_worker()).find_given_up()
    assert _make_history([crossing], _make_worker("a")).find_given_up()
    unanswered = (LOOKUP, 0, 0.0, CLOSING_SLACK_S + 0.1, "a")
    assert _make_history([unanswered], _make_worker()).find_given_up()


@pytest.mark.parametrize(
    ("status", "silenced_at", "is_broken"),
    [(504, 0.2, True), (200, 0.2, False), (504, 2.0, False), (504, 0.05, False)],
)
async def test_requests_on_silent_connections_that_are_not_served_break_an_invariant(
    status, silenced_at, is_broken
) -> None:
    ids = [f"r{number}" for number in range(MIN_COUNTED)]
    worker = _make_worker(*ids)
    items = [(LOOKUP, status, 0.0, OWN_LIMIT_S + 0.1, id) for id in ids]
    history = _make_history(items, worker, silenced_at)
    assert bool(history.find_unserved()) == is_broken


async def test_requests_that_reach_no_endpoint_until_their_limit_are_not_served() -> (
    None
):
    items = [
        (LOOKUP, 504, 0.0, OWN_LIMIT_S + 0.1, f"r{number}")
        for number in range(MIN_COUNTED)
    ]
    assert _make_history(items, _make_worker()).find_unserved()


async def test_an_open_connection_stays_silent_and_a_new_one_works() -> None:
    async with _echoing_proxy() as proxy:
        silent = await _connect(proxy)
        assert await _is_echoed(*silent)
        proxy.silence_open_connections()
        assert not await _is_echoed(*silent)
        proxy.set(LinkState.PASS)
        assert not await _is_echoed(*silent)
        assert not silent[0].at_eof()
        assert await _is_echoed(*await _connect(proxy))


async def test_what_an_endpoint_sends_while_it_is_silent_arrives_later() -> None:
    async with _echoing_proxy() as proxy:
        reader, writer = await _connect(proxy)
        proxy.set(LinkState.CUT_FROM_TARGET)
        assert not await _is_echoed(reader, writer)
        proxy.set(LinkState.PASS)
        assert await reader.readexactly(1) == b"x"


@contextlib.asynccontextmanager
async def _echoing_proxy():
    async def echo(reader, writer) -> None:
        while data := await reader.read(1):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, HOST)
    target = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    proxy = Proxy(f"{HOST}:{free_port()}", target)
    async with server, proxy.running():
        yield proxy


async def _connect(proxy):
    return await asyncio.open_connection(HOST, int(proxy.address.split(":")[1]))


async def _is_echoed(reader, writer) -> bool:
    writer.write(b"x")
    try:
        async with asyncio.timeout(PASSING_S):
            return await reader.readexactly(1) == b"x"
    except TimeoutError:
        return False


def _make_worker(*arrived_ids: str) -> Worker:
    worker = Worker("w")
    worker.arrivals = [Arrival(0.1, id) for id in arrived_ids]
    return worker


def _make_history(items, worker: Worker, *silenced_at: float) -> ExchangeHistory:
    instance = make_instance()
    attempts = [make_attempt(instance, *item) for item in items]
    return ExchangeHistory(attempts, [worker], {worker.id: silenced_at}, OWN_LIMIT_S)
