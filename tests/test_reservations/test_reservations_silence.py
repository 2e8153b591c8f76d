"""A decode engine that is silent for about a second is not taken to be dead.

Its exchanges, those of other requests as well, are aborted once it has refused
connections for so long that it must be dead; a short silence must not reach that.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Result, Success

from cicadacourse.application import Application, Service
from cicadacourse.catalog import Endpoint
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.errors import Error
from cicadacourse.platform._kv_cache_client import REACHABLE_TIMEOUT_S
from cicadacourse.reservations import ReservationService
from cicadacourse.util.clock import now
from tests.simulated_loop import new_event_loop

SILENCE_S = 1.2
REQUEST_S = 8.0
ENGINE = Endpoint("engine", "engines", "10.0.0.1:1", "a", 8)
LINK_S = 0.004


class SilentEngineClient(Service):
    """Orders and connections to an engine that is silent for a time."""

    name = "memory_client"

    def __init__(self, app: Application, silent_from: float, silent_until: float):
        super().__init__(app)
        self._silent_from = silent_from
        self._silent_until = silent_until

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether a connection is accepted in time."""
        started = now()
        await asyncio.sleep(LINK_S)
        while self._silent_from <= now() < self._silent_until:
            if now() - started >= REACHABLE_TIMEOUT_S:
                return False
            await asyncio.sleep(LINK_S)
        return True

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


async def _is_aborted(silent_from: float, silence_s: float) -> bool:
    instance = InstanceSettings(
        name="one",
        failure_domain="a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )
    app = Application(Settings(instance))
    start = now() + silent_from
    app.add_service(SilentEngineClient(app, start, start + silence_s))
    app.add_service(AbortingClient(app))
    service = ReservationService(app)
    async with service.hold("r1", ENGINE, ()):
        await asyncio.sleep(REQUEST_S)
    return app.get("endpoint_caller").has_aborted


def _run(silent_from: float, silence_s: float) -> bool:
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(_is_aborted(silent_from, silence_s))


@pytest.mark.parametrize("tenths", range(0, 30, 3))
def test_exchanges_outlast_a_short_silence_of_the_decode_engine(tenths: int) -> None:
    assert not _run(tenths / 10, SILENCE_S)


def test_exchanges_with_an_engine_that_is_silent_for_good_are_aborted() -> None:
    """Else its helpers would keep their KV cache reserved for the request."""
    assert _run(0.5, float("inf"))
