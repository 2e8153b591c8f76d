"""Fixtures that run a deployment with instances on loopback, in one process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Any, AsyncIterator, Callable

import attrs
import capnp

from cicadacourse.application import Application
from cicadacourse.cmd._services import import_services
from cicadacourse.cmd.serve import SERVICES_IN_ORDER
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.exchange import SendFailure
from cicadacourse.load import LoadSettings
from cicadacourse.membership import MembershipSettings
from cicadacourse.platform import ListenSettings, StoreSettings
from standins.callers import Response, encode_request, read_response
from standins.platform import KEY, Fleet, make_configuration
from standins.ports import free_port, next_host, reserve_port

POLL_INTERVAL_S = 0.02
MAX_POLLS = 500

import_services()


PEER_PORT = reserve_port()


@attrs.define
class Instance:
    """One instance and its addresses."""

    app: Application
    host: str
    caller_port: int
    ready_port: int
    directory_port: int
    metrics_port: int = 0


def make_instance(
    fleet: Fleet,
    name: str,
    host: str,
    seeds: tuple[str, ...] = (),
    domain: str = "a",
    sections: tuple[Any, ...] = (),
) -> Instance:
    """Returns an instance that is not yet running.

    :param sections: further sections of its settings.
    """
    ports = [free_port(host) for _ in range(4)]
    settings = Settings(
        InstanceSettings(
            name=name,
            failure_domain=domain,
            caller_address=f"{host}:{ports[0]}",
            peer_address=f"{host}:{PEER_PORT}",
        ),
        StoreSettings(
            address=fleet.store_address,
            timeout_s=0.5,
            configuration_wait_s=0.3,
            endpoints_pause_s=0.05,
            lapse_hold_s=0.6,
        ),
        ListenSettings(
            ready_address=f"{host}:{ports[1]}",
            directory_address=f"{host}:{ports[2]}",
            metrics_address=f"{host}:{ports[3]}",
            seeds=seeds,
            directory_ttl_s=0.1,
            leave_accept_s=0.6,
            leave_timeout_s=6.0,
        ),
        MembershipSettings(probe_period_s=0.1, sync_period_s=0.3),
        LoadSettings(idle_period_s=0.1),
        *sections,
    )
    app = Application(settings)
    app.add_services(*SERVICES_IN_ORDER)
    return Instance(app, host, *ports)


@contextlib.asynccontextmanager
async def running_fleet(
    engines: int = 3, plain_services: int = 2
) -> AsyncIterator[Fleet]:
    """Runs a configured deployment without instances."""
    fleet = Fleet(next_host())
    async with capnp.kj_loop(), fleet.running():
        for number in range(engines):
            fleet.add_engine(f"engine-{number}")
        for number in range(plain_services):
            fleet.add_plain_service(f"plain-{number}")
        fleet.configure(make_configuration())
        yield fleet


@contextlib.asynccontextmanager
async def running_instance(instance: Instance) -> AsyncIterator[Instance]:
    """Runs an instance and waits until it is ready."""
    async with instance.app.running():
        await wait_until(instance.app.get("probes").is_ready)
        yield instance


async def _refuse_connection(*_: object) -> None:
    raise SendFailure("the link is cut", False, "unreachable")


@contextlib.asynccontextmanager
async def running_one_instance(fleet: Fleet) -> AsyncIterator[Instance]:
    """Runs an instance alone, and waits until it is ready."""
    instance = make_instance(fleet, "one", next_host())
    async with running_instance(instance):
        yield instance


@contextlib.asynccontextmanager
async def running_cut_off_instance(fleet: Fleet) -> AsyncIterator[Instance]:
    """Runs an instance that is cut off from all endpoints, and another one."""
    first = make_instance(fleet, "one", next_host())
    seeds = (f"{first.host}:{first.caller_port}",)
    second = make_instance(fleet, "two", next_host(), seeds=seeds)
    async with running_instance(first), running_instance(second):
        await wait_until(lambda: len(first.app.get("membership").members()) == 2)
        await wait_until(lambda: len(second.app.get("membership").members()) == 2)
        first.app.get("endpoint_connector")._open = _refuse_connection
        yield first


async def wait_until(condition: Callable[[], Any]) -> None:
    """Polls until a condition holds.

    :raises AssertionError: if it does not hold after ``MAX_POLLS`` polls.
    """
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"{condition} still does not hold")


@attrs.define
class Caller:
    """Sends requests as a caller, each on its own connection unless stated."""

    instance: Instance
    _ids: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    sent_ids: list[str] = attrs.field(factory=list)

    async def request(self, path: str, *arguments: Any, **keywords: Any) -> Response:
        """Sends one request, as :meth:`open` does, and returns its whole response."""
        reader, writer = await self.open(path, *arguments, **keywords)
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def open(
        self, path: str, *arguments: Any, **keywords: Any
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends one request on a new connection and returns the connection."""
        reader, writer = await asyncio.open_connection(
            self.instance.host, self.instance.caller_port
        )
        await self.send(writer, path, *arguments, **keywords)
        return reader, writer

    async def send(
        self,
        writer: asyncio.StreamWriter,
        path: str,
        tokens: str | None = None,
        key: str | None = KEY,
        timeout_ms: int = 3000,
        method: str = "POST",
        body: bytes = b"question",
        **headers: str,
    ) -> None:
        """Sends one request on an open connection."""
        request_id = f"{self.instance.host}-{next(self._ids)}"
        self.sent_ids.append(request_id)
        header_by_name = {
            name.replace("_", "-"): text for name, text in headers.items()
        }
        request = encode_request(
            path, request_id, timeout_ms, key, tokens, method, body, header_by_name
        )
        writer.write(request)


async def fetch(host: str, port: int, path: str) -> Response:
    """Sends a GET request to a host and port and returns its whole response."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
    try:
        return await read_response(reader)
    finally:
        writer.close()
