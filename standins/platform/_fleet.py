"""A small deployment on loopback: the store, endpoints and their registrations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from typing import Any, AsyncIterator, Mapping

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from standins.platform._configuration import ENGINE_POOL, PLAIN_POOL, PROFILE
from standins.platform._engine import Engine
from standins.platform._store import StoreCore
from standins.platform._store_http import make_store_application
from standins.platform._worker import Worker
from standins.platform._worker_http import make_worker_application

HEARTBEAT_S = 0.4
# How long an endpoint that has crashed is gone.
CRASH_S = 1.5
# The registry drops an endpoint that has been silent for so long.
EXPIRY_S = 3 * HEARTBEAT_S
# The fraction of the endpoints that are back under the id that they had.
SAME_ID_RATE = 0.2


@attrs.define
class RegisteredEndpoint:
    """An endpoint of a fleet and what its registry entry says of it.

    :ivar address: where instances reach it; that of a proxy, if one is in between.
    :ivar cold_until: until when it is cold, by the clock of the process.
    :ivar port: where it listens itself.
    :ivar started_ms: when it started, in Unix milliseconds; a restart under the same id
        and address has another one.
    """

    worker: Worker
    address: str
    pool: str
    failure_domain: str = "a"
    state: str = "ready"
    started_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    cold_until: float = 0.0
    port: int = attrs.field(init=False)

    @port.default
    def _read_port(self) -> int:
        return int(self.address.rpartition(":")[2])

    def encode_entry(self, changes: Mapping[str, Any] | None = None) -> bytes:
        """Returns the registry entry as an endpoint writes it to the store.

        :param changes: fields in which another writer's entry differs; None leaves a
            field out.
        """
        engine = self.worker.engine
        cold_left_s = max(0.0, self.cold_until - time.monotonic())
        row = {
            "service": self.pool,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": engine.profile.slots if engine else 6,
            "state": self.state,
            "coldLeftMs": int(cold_left_s * 1000),
            "seqNo": 0,
            "born": self.started_ms,
            **(changes or {}),
        }
        present = {name: value for name, value in row.items() if value is not None}
        return json.dumps(present).encode()


class Fleet:
    """Starts and stops the parts of a deployment in one process.

    :param host: the IP address on which the store and the endpoints listen.
    :ivar store_address: where instances reach the store.
    :ivar operators_address: where operators reach it, who may write the configuration.
    :ivar workers: the endpoints that were started, in order, those that are gone
        included.
    :ivar crash_s: how long an endpoint that has crashed is gone, in seconds.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.store = StoreCore()
        self.store_address = ""
        self.operators_address = ""
        self.endpoint_by_id: dict[str, RegisteredEndpoint] = {}
        self.workers: list[Worker] = []
        self.crash_s = CRASH_S
        self.random = random.Random(1)
        self._server_by_id: dict[str, HTTPServer] = {}
        self._crashes: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        """Serves the store and repeats all registrations while the context is open."""
        server = HTTPServer(make_store_application(self.store))
        operators = HTTPServer(make_store_application(self.store, for_operators=True))
        self.store_address = self._listen(server)
        self.operators_address = self._listen(operators)
        heartbeats = asyncio.create_task(self._register_periodically())
        try:
            yield self
        finally:
            for task in (heartbeats, *self._crashes):
                task.cancel()
            await asyncio.gather(heartbeats, *self._crashes, return_exceptions=True)
            for item in [server, operators, *self._server_by_id.values()]:
                item.stop()
                await item.close_all_connections()

    def configure(self, configuration: dict[str, Any]) -> None:
        """Writes a configuration to the store as an operator does."""
        value = json.dumps(configuration).encode()
        self.store.put("keyed.op", "config", value)

    def evacuate(self, failure_domain: str) -> None:
        """Requests as an operator that nothing more is sent to a domain's endpoints."""
        self.store.put("keyed.op", f"evacuate/{failure_domain}", b"{}")

    def withdraw_evacuation(self, failure_domain: str, cold_s: float = 0.0) -> None:
        """Takes such a request back.

        :param cold_s: for how many seconds the domain's endpoints are cold then.
        """
        for endpoint in self.endpoint_by_id.values():
            if endpoint.failure_domain == failure_domain:
                endpoint.cold_until = time.monotonic() + cold_s
                self.register(endpoint)
        self.store.put("keyed.op", f"evacuate/{failure_domain}", None)

    def add_engine(self, id: str, failure_domain: str = "a") -> RegisteredEndpoint:
        """Starts an engine and registers it."""
        engine = Engine(PROFILE, name=id)
        worker = self._make_worker(id, engine)
        return self._add(worker, ENGINE_POOL, failure_domain)

    def add_plain_service(
        self, id: str, failure_domain: str = "a"
    ) -> RegisteredEndpoint:
        """Starts an endpoint of the plain service and registers it."""
        return self._add(self._make_worker(id), PLAIN_POOL, failure_domain)

    def register(self, endpoint: RegisteredEndpoint) -> None:
        """Writes an endpoint's registry entry to the store now."""
        self.store.put("keyed.servers", endpoint.worker.id, endpoint.encode_entry())

    def overwrite(self, endpoint: RegisteredEndpoint, changes: dict[str, Any]) -> None:
        """Writes an entry under an endpoint's id as another writer does.

        It stands until the endpoint's next heartbeat.

        :param changes: see :meth:`RegisteredEndpoint.encode_entry`.
        """
        entry = endpoint.encode_entry(changes)
        self.store.put("keyed.servers", endpoint.worker.id, entry)

    def remove(self, id: str) -> RegisteredEndpoint:
        """Removes an endpoint from the registry; it continues to serve requests."""
        endpoint = self.endpoint_by_id.pop(id)
        self.store.put("keyed.servers", id, None)
        return endpoint

    async def kill(self, id: str) -> None:
        """Stops an endpoint's server at once; its registry entry stays."""
        server = self._server_by_id.pop(id)
        server.stop()
        await server.close_all_connections()

    @property
    def crashed_at(self) -> list[float]:
        """When endpoints have crashed, loop times in seconds, in order."""
        return sorted(item.crash.at for item in self.workers if item.crash)

    def _start_crash(self, id: str) -> None:
        crashed = self.endpoint_by_id.pop(id, None)
        if crashed is not None:
            task = asyncio.create_task(self._crash(crashed))
            self._crashes.add(task)
            task.add_done_callback(self._crashes.discard)

    async def _crash(self, crashed: RegisteredEndpoint) -> None:
        """Ends an endpoint's process; another one takes its address after some time."""
        worker, id = crashed.worker, crashed.worker.id
        await self.kill(id)
        await asyncio.sleep(EXPIRY_S)
        self.store.put("keyed.servers", id, None)
        await asyncio.sleep(self.crash_s - EXPIRY_S)
        if self.random.random() >= SAME_ID_RATE:
            id += "+"
        successor = self._make_worker(id, worker.engine and Engine(PROFILE))
        successor.crashing_part_ids = worker.crashing_part_ids
        successor.crashing_contents = worker.crashing_contents
        self._add(successor, crashed.pool, crashed.failure_domain, crashed.port)

    def count_runs(self, request_id: str) -> int:
        """Returns how often the registered endpoints have run a request, in total."""
        return sum(
            item.worker.runs_by_request[request_id]
            for item in self.endpoint_by_id.values()
        )

    def _make_worker(self, id: str, engine: Engine | None = None) -> Worker:
        seed = len(self.workers) + 1
        return Worker(id, engine, find_engine=self._find_engine, seed=seed)

    def _add(
        self, worker: Worker, pool: str, failure_domain: str, port: int = 0
    ) -> RegisteredEndpoint:
        """Starts an endpoint and registers it.

        :param port: where it listens; 0 for a free port.
        """
        worker.on_crash = lambda: self._start_crash(worker.id)
        self.workers.append(worker)
        server = HTTPServer(make_worker_application(worker))
        address = self._listen(server, port)
        if worker.engine is not None:
            worker.engine.name = address
        endpoint = RegisteredEndpoint(worker, address, pool, failure_domain)
        self.endpoint_by_id[worker.id] = endpoint
        self._server_by_id[worker.id] = server
        self.register(endpoint)
        return endpoint

    def _listen(self, server: HTTPServer, port: int = 0) -> str:
        sockets = bind_sockets(port, self.host)
        server.add_sockets(sockets)
        return f"{self.host}:{sockets[0].getsockname()[1]}"

    def _find_engine(self, address: str) -> Engine | None:
        for endpoint in self.endpoint_by_id.values():
            if endpoint.address == address:
                return endpoint.worker.engine
        return None

    async def _register_periodically(self) -> None:
        while True:
            for endpoint in list(self.endpoint_by_id.values()):
                self.register(endpoint)
            await asyncio.sleep(HEARTBEAT_S)
