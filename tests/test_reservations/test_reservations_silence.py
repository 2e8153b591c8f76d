"""A decode engine that is silent for about a second is not taken to be dead.

A request that holds reservations ends once its engine has accepted no connection and
sent no data for so long that it must be dead; a short silence must not reach that, and
no other request may end with it.
"""

from __future__ import annotations

import asyncio
from typing import Any, Sequence, TypeAlias

import pytest
from returns.result import Result, Success

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.errors import Error
from cicadacourse.events import ENDPOINT_SENT_DATA
from cicadacourse.exchange import SendFailure
from cicadacourse.platform._kv_cache_client import REACHABLE_TIMEOUT_S
from cicadacourse.reservations import ReservationService
from cicadacourse.reservations._service import ESTIMATE_FACTOR, LEASE_S
from cicadacourse.reservations._settings import ReservationSettings
from cicadacourse.util.clock import now
from tests.simulated_loop import new_event_loop

SILENCE_S = 1.2
REQUEST_S = 8.0
ENGINE = Endpoint("engine", "engines", "10.0.0.1:1", "a", 8)
LINK_S = 0.004
DATA_PERIOD_S = 0.5
FOR_GOOD = float("inf")
# The platform's ``idleMaxMs``.
UNUSED_BOUND_S = 9.0
INSTANCE = InstanceSettings(
    name="one",
    failure_domain="a",
    caller_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
)

# When a silence begins and ends.
Silence: TypeAlias = tuple[float, float]


class SilentEngineClient(Service):
    """Orders and connections to an engine that is silent for some times.

    :param silences: when each silence begins and ends, loop times in seconds.
    :param pause: when a pause of this process begins and ends, in the same way.
    """

    name = "memory_client"

    def __init__(
        self, app: Application, silences: Sequence[Silence], pause: Silence
    ) -> None:
        super().__init__(app)
        self._silences = silences
        self._pause = pause

    def _is_silent(self) -> bool:
        return any(begin <= now() < end for begin, end in self._silences)

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether a connection is accepted in time."""
        started = now()
        await self._wait()
        while self._is_silent() and now() - started < REACHABLE_TIMEOUT_S:
            await self._wait()
        # A loop that was paused comes to the time limit before the connection.
        return now() - started < REACHABLE_TIMEOUT_S

    async def _wait(self) -> None:
        """Waits for a short time, and until a pause that has begun is over."""
        await asyncio.sleep(LINK_S)
        begin, end = self._pause
        if begin <= now() < end:
            await asyncio.sleep(end - now())

    async def reserve(self, *_: Any) -> Result[None, Error]:
        """Reserves at once."""
        return Success(None)

    release = reserve


class AbortingClient(Service):
    """Records whether exchanges were aborted."""

    name = "endpoint_caller"
    has_aborted = False

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Does nothing; no connection is kept here."""

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Records an abort."""
        self.has_aborted = True


async def _is_ended(
    silences: Sequence[Silence], data_until_s: float, pause: Silence
) -> bool:
    """Returns whether a request ends before its time.

    :param silences: begins and ends, in seconds from the start.
    :param data_until_s: until when another request gets data of the engine.
    :param pause: the begin and end of a pause of the process.
    """
    app = Application(Settings(INSTANCE))
    start = now()
    app.add_service(
        SilentEngineClient(
            app,
            [(start + begin, start + end) for begin, end in silences],
            (start + pause[0], start + pause[1]),
        )
    )
    app.add_service(AbortingClient(app))
    service = ReservationService(app)
    data = asyncio.create_task(_send_data(app, start + data_until_s))
    try:
        async with service.hold("r1", ENGINE, (), lambda: now() - start):
            await asyncio.sleep(REQUEST_S)
    except SendFailure as failure:
        assert failure.may_have_run
        return True
    finally:
        data.cancel()
        assert not app.get("endpoint_caller").has_aborted
    return False


async def _send_data(app: Application, until: float) -> None:
    while now() < until:
        app.events.emit(ENDPOINT_SENT_DATA, ENGINE.id)
        await asyncio.sleep(DATA_PERIOD_S)


def _run(
    *silences: Silence, data_until_s: float = 0.0, pause: Silence = (0.0, 0.0)
) -> bool:
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(_is_ended(silences, data_until_s, pause))


@pytest.mark.parametrize("tenths", range(0, 30, 3))
def test_exchanges_outlast_a_short_silence_of_the_decode_engine(tenths: int) -> None:
    begin = tenths / 10
    assert not _run((begin, begin + SILENCE_S))


def test_exchanges_with_an_engine_that_is_silent_for_good_are_aborted() -> None:
    """Else its helpers would keep their KV cache reserved for the request."""
    assert _run((0.5, FOR_GOOD))


@pytest.mark.parametrize("pause_s", [0.3, 0.5, 0.8, 1.2])
def test_exchanges_outlast_two_short_silences_of_the_decode_engine(
    pause_s: float,
) -> None:
    """Each met one of two consecutive checks."""
    second = 0.5 + SILENCE_S + pause_s
    assert not _run((0.5, 0.5 + SILENCE_S), (second, second + SILENCE_S))


def test_data_of_another_request_prove_that_the_decode_engine_lives() -> None:
    """Two connections that it did not accept ended all exchanges with it."""
    assert not _run((0.5, FOR_GOOD), data_until_s=REQUEST_S)


def test_an_engine_whose_data_end_is_dead_as_well() -> None:
    assert _run((0.5, FOR_GOOD), data_until_s=3.0)


def test_a_pause_of_the_process_is_no_silence_of_the_decode_engine() -> None:
    """One check that began before the pause counted for all of its time."""
    assert not _run((1.1, 1.1 + SILENCE_S), pause=(1.25, 4.25))


def test_an_engine_that_is_silent_before_and_after_a_pause_is_dead() -> None:
    assert _run((1.1, FOR_GOOD), pause=(1.25, 4.25))


@pytest.mark.parametrize("expected_s", [0.0, 3.0])
def test_kv_cache_is_not_kept_for_a_request_that_its_engine_does_not_serve(
    expected_s: float,
) -> None:
    """An engine that hangs accepts connections, and its helpers' KV cache was renewed.

    It stayed reserved for as long as the request waited, though nothing used it.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        held_s = runner.run(_held_s(expected_s))
    limit_s = UNUSED_BOUND_S - LEASE_S
    # A lease that can't be released expires after this.
    assert held_s <= max(limit_s, ESTIMATE_FACTOR * expected_s)
    assert held_s >= expected_s


async def _held_s(expected_s: float) -> float:
    """Returns for how long KV cache is kept for a request without data."""
    settings = ReservationSettings(unused_bound_ms=int(UNUSED_BOUND_S * 1000))
    app = Application(Settings(INSTANCE, settings))
    app.add_service(SilentEngineClient(app, [], (0.0, 0.0)))
    app.add_service(AbortingClient(app))
    service = ReservationService(app)
    data = asyncio.create_task(_send_data(app, now() + 2 * UNUSED_BOUND_S))
    start = now()
    with pytest.raises(SendFailure):
        async with service.hold("r1", ENGINE, (), lambda: now() - start, expected_s):
            await asyncio.sleep(2 * UNUSED_BOUND_S)
    data.cancel()
    return now() - start
