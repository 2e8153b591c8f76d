"""Open connections to the store fall silent for good while new ones work.

The failure: a read that was silent was followed by one on the next silent connection,
and then counted as an outage of the store, after which endpoints without an entry are
held. So an endpoint that had left got requests for six seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import AsyncIterator, Callable

import logbook
import pytest

from cicadacourse.logs import STORE_CONNECTION_SILENT, STORE_LOST, STORE_RECOVERED
from cicadacourse.util.clock import now
from cicadacourse.util.http import HttpClient, HttpError
from soak._proxy import LinkState, Proxy
from standins.platform import PLAIN_POOL, Fleet
from standins.ports import free_port, next_host
from tests.platform_fleet import (
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)

# Within this time of the silence, instances are in touch again.
CONTACT_S = 3.0
TIMEOUT_S = 0.2
KEPT_CONNECTIONS = 3
BACKLOG_CONNECTIONS = 4


@contextlib.asynccontextmanager
async def _proxy(target: str) -> AsyncIterator[Proxy]:
    """Yields a running proxy before an address."""
    host = next_host()
    proxy = Proxy(f"{host}:{free_port(host)}", target)
    async with proxy.running():
        yield proxy


@contextlib.asynccontextmanager
async def _linked_instance(fleet: Fleet) -> AsyncIterator[tuple[Instance, Proxy]]:
    """Runs an instance whose connections to the store go through a proxy."""
    async with _proxy(fleet.store_address) as proxy:
        fleet.store_address = proxy.address
        instance = make_instance(fleet, "one", next_host())
        async with running_instance(instance):
            yield instance, proxy


def _leave(fleet: Fleet) -> None:
    endpoint = fleet.endpoint_by_id["plain-0"]
    endpoint.state = "draining"
    fleet.register(endpoint)


def _vanish(fleet: Fleet) -> None:
    fleet.remove("plain-0")


def _events(handler: logbook.TestHandler) -> set[str]:
    """Returns the events of the log, those of the registry's reading among them."""
    return {
        record.message
        for record in handler.records
        if record.extra.get("topic") != "keyed.op"
    }


@pytest.mark.parametrize("leave", [_leave, _vanish])
async def test_a_leaving_endpoint_is_unused_soon_after_connections_fell_silent(
    leave: Callable[[Fleet], None],
) -> None:
    """Its entry says so, or is gone; the store itself was never lost."""
    async with running_fleet(engines=1) as fleet, _linked_instance(fleet) as linked:
        instance, proxy = linked
        registry = instance.app.get("catalog").registry

        def ready_ids() -> list[str]:
            return [item.id for item in registry.ready(PLAIN_POOL)]

        with logbook.TestHandler().applicationbound() as handler:
            silent_at = now()
            proxy.silence_open_connections()
            await asyncio.sleep(0.1)
            leave(fleet)
            await wait_until(lambda: "plain-0" not in ready_ids())
        assert now() - silent_at < CONTACT_S
        assert STORE_CONNECTION_SILENT.text in _events(handler)
        assert STORE_LOST.text not in _events(handler)


async def test_entries_are_held_after_an_outage_in_which_connections_fell_silent() -> (
    None
):
    """Endpoints' entries expire while the store does not answer them either."""
    async with running_fleet(engines=1) as fleet, _linked_instance(fleet) as linked:
        instance, proxy = linked
        registry = instance.app.get("catalog").registry
        with logbook.TestHandler().applicationbound() as handler:
            proxy.silence_open_connections()
            proxy.set(LinkState.RESET)
            await wait_until(lambda: STORE_LOST.text in _events(handler))
            fleet.remove("plain-0")
            proxy.set(LinkState.PASS)
            await wait_until(lambda: STORE_RECOVERED.text in _events(handler))
            await asyncio.sleep(0.1)
            assert "plain-0" in registry
        await wait_until(lambda: "plain-0" not in registry)


async def test_no_kept_connection_is_used_after_a_call_has_timed_out() -> None:
    """Each of several kept connections would be silent, and use up a time limit."""
    async with running_fleet(engines=1) as fleet:
        async with _proxy(fleet.store_address) as proxy:
            path = "/api/log-newest?topic=keyed.op&part=0"

            async def read(timeout_s: float = 5.0) -> int:
                response = await http.request("GET", proxy.address, path, timeout_s)
                return response.status

            with contextlib.closing(HttpClient()) as http:
                await asyncio.gather(*(read() for _ in range(KEPT_CONNECTIONS)))
                proxy.silence_open_connections()
                with pytest.raises(HttpError) as caught:
                    await read(TIMEOUT_S)
                assert caught.value.is_silent
                assert await read(TIMEOUT_S) == 200
                proxy.set(LinkState.CUT_BOTH_WAYS)
                for is_silent in (True, False):
                    with pytest.raises(HttpError) as caught:
                        await read(TIMEOUT_S)
                    assert caught.value.is_silent == is_silent


async def test_a_connection_that_is_not_made_at_once_is_not_waited_for() -> None:
    """TCP makes it a second later, when an outage of the store may be just over."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        address = listener.getsockname()
        # The system drops packets that open further connections once this is full.
        for _ in range(BACKLOG_CONNECTIONS):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        http = stack.enter_context(contextlib.closing(HttpClient()))
        started = now()
        with pytest.raises(HttpError) as caught:
            await http.request("GET", "%s:%d" % address, "/", 3.0, None, TIMEOUT_S)
    assert now() - started < 5 * TIMEOUT_S
    assert not caught.value.is_silent
