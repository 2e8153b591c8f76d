"""A small deployment on loopback: the store, endpoints and their registrations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any, AsyncIterator

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from cicadacourse.catalog import EngineProfile
from cicadacourse.util.clock import now
from standins.platform._engine import Engine
from standins.platform._store import StoreCore
from standins.platform._store_http import make_store_application
from standins.platform._worker_http import Worker, make_worker_application

HEARTBEAT_S = 0.4
# How long an engine that has crashed is gone.
CRASH_S = 1.5
PROFILE = EngineProfile(
    slots=8,
    kv_tokens=450_000,
    steps_per_pass=46,
    step_s=0.000925,
    step_per_writer_s=0.00000966,
    step_per_1k_context_s=0.00000254,
    read_tokens_per_s=256_000.0,
    read_per_1m_pairs_s=0.0000917,
    chunk_tokens=2048,
    hop_s=0.0001,
    models=("m",),
)
HOST = "fleet.example"
ENGINE_POOL = "engines"
PLAIN_POOL = "plain"
KEY = "key-of-acme"
ORGANISATION = "acme"


def make_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a configuration in the platform's format, with three routes.

    :param fields: top-level fields that are added or replaced.
    """
    engine = {
        "slots": PROFILE.slots,
        "kvTokens": PROFILE.kv_tokens,
        "stride": PROFILE.steps_per_pass,
        "step_ms": PROFILE.step_s * 1000,
        "per_seq_ms": PROFILE.step_per_writer_s * 1000,
        "context_per_k": PROFILE.step_per_1k_context_s * 1000,
        "read_per_s": PROFILE.read_tokens_per_s,
        "pairs_per_m": PROFILE.read_per_1m_pairs_s * 1000,
        "chunk": PROFILE.chunk_tokens,
        "hopMs": PROFILE.hop_s * 1000,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            _route("stream", "/ask/", "streaming", ENGINE_POOL, 2, resumable=True),
            _route("book", "/book/", "unsafe", PLAIN_POOL, 1),
            _route("look", "/look/", "safe", PLAIN_POOL, 2),
        ],
        "services": [
            {"name": ENGINE_POOL, "healthPath": "/health", "engine": engine},
            {"name": PLAIN_POOL, "healthPath": "/health"},
        ],
        "tenants": [{"name": ORGANISATION, "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


def _route(
    name: str, prefix: str, kind: str, pool: str, attempts: int, **fields: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 300,
        "gapTargetMs": 200,
        "priority": 1,
        "service": pool,
        "maxAttempts": attempts,
        "public": False,
        **fields,
    }


@attrs.define
class RegisteredEndpoint:
    """An endpoint of a fleet and what its registry entry says of it.

    :ivar address: where instances reach it; that of a proxy, if one is in between.
    :ivar started_ms: when it started, in Unix milliseconds; a restart under the same id
        and address has another one.
    """

    worker: Worker
    address: str
    pool: str
    failure_domain: str = "a"
    state: str = "ready"
    started_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))

    def encode_entry(self) -> bytes:
        """Returns the registry entry as an endpoint writes it to the store."""
        engine = self.worker.engine
        row = {
            "service": self.pool,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": engine.profile.slots if engine else 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": 0,
            "born": self.started_ms,
        }
        return json.dumps(row).encode()


class Fleet:
    """Starts and stops the parts of a deployment in one process.

    :param host: the IP address on which the store and the endpoints listen.
    :ivar store_address: where instances reach the store.
    :ivar operators_address: where operators reach it, who may write the configuration.
    :ivar crashed_at: when engines have crashed, loop times in seconds.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.store = StoreCore()
        self.store_address = ""
        self.operators_address = ""
        self.endpoint_by_id: dict[str, RegisteredEndpoint] = {}
        self.crashed_at: list[float] = []
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

    def add_engine(self, id: str, failure_domain: str = "a") -> RegisteredEndpoint:
        """Starts an engine and registers it."""
        engine = Engine(PROFILE, name=id)
        worker = Worker(id, engine=engine, find_engine=self._find_engine)
        worker.on_crash = lambda: self._start_crash(id)
        return self._add(worker, ENGINE_POOL, failure_domain)

    def add_plain_service(
        self, id: str, failure_domain: str = "a"
    ) -> RegisteredEndpoint:
        """Starts an endpoint of the plain service and registers it."""
        return self._add(Worker(id), PLAIN_POOL, failure_domain)

    def register(self, endpoint: RegisteredEndpoint) -> None:
        """Writes an endpoint's registry entry to the store now."""
        self.store.put("keyed.servers", endpoint.worker.id, endpoint.encode_entry())

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

    def _start_crash(self, id: str) -> None:
        crashed = self.endpoint_by_id.pop(id, None)
        if crashed is not None:
            self.crashed_at.append(now())
            task = asyncio.create_task(self._crash(crashed))
            self._crashes.add(task)
            task.add_done_callback(self._crashes.discard)

    async def _crash(self, crashed: RegisteredEndpoint) -> None:
        """Ends an engine's process; another one registers after some time."""
        id = crashed.worker.id
        await self.kill(id)
        await asyncio.sleep(CRASH_S)
        self.store.put("keyed.servers", id, None)
        successor = self.add_engine(f"{id}+", crashed.failure_domain)
        successor.worker.crashing_part_ids = crashed.worker.crashing_part_ids

    def count_runs(self, request_id: str) -> int:
        """Returns how often the registered endpoints have run a request, in total."""
        return sum(
            item.worker.runs_by_request[request_id]
            for item in self.endpoint_by_id.values()
        )

    def _add(
        self, worker: Worker, pool: str, failure_domain: str
    ) -> RegisteredEndpoint:
        server = HTTPServer(make_worker_application(worker))
        address = self._listen(server)
        if worker.engine is not None:
            worker.engine.name = address
        endpoint = RegisteredEndpoint(worker, address, pool, failure_domain)
        self.endpoint_by_id[worker.id] = endpoint
        self._server_by_id[worker.id] = server
        self.register(endpoint)
        return endpoint

    def _listen(self, server: HTTPServer) -> str:
        sockets = bind_sockets(0, self.host)
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
