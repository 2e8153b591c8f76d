"""Small stand-ins for the users' platform, and instances of the program as processes.

Only the standard library is used. Every address is a loopback address; every process
that is started is ended by its id. Times in records are seconds since the start of the
script on the steady clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Bounds of the sheet "Annex B: Roadworks Alert Routing Service".
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "downgradeSlackMs": 250, "outerBoundMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 102,
    "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500,
    "maxHoldMs": 20000, "freeMs": 4000, "idleMaxMs": 9000, "ttl_max_s": 5,
}
ZONES = ("dk-east-a", "dk-east-b", "dk-east-c")
REGION = "dk-east"
HOST = "alerts.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ENGINES, PLAIN = "cicada-llm", "alert-app"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004

_started = time.monotonic()


def now() -> float:
    return time.monotonic() - _started


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        self._file.write(f"{now():8.3f}  {text}\n")
        self._file.flush()


# --- HTTP -----------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers by lower-case name, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A server of HTTP/1.1 with kept connections."""

    async def start(self, host: str, port: int = 0) -> str:
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def stop(self) -> None:
        """Ends as a killed process does: its sockets are closed."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        raise NotImplementedError


# --- The store ------------------------------------------------------------------------


class Store(Server):
    """The platform's store: keyed topics of one partition, read by offset and by key."""

    def __init__(self) -> None:
        self._records: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._appended = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record as the operator or a worker; no value drops the key."""
        self._append(topic, bytes([len(key.encode())]) + key.encode() + value)

    def _append(self, topic: str, record: bytes) -> int:
        records = self._records.setdefault(topic, [])
        records.append(record)
        if topic.startswith("keyed."):
            end = 1 + record[0]
            key, value = record[1:end].decode(errors="replace"), record[end:]
            newest = self._newest.setdefault(topic, {})
            newest.pop(key, None)
            if value:
                newest[key] = (len(records) - 1, value)
        self._appended.set()
        self._appended = asyncio.Event()
        return len(records) - 1

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(STORE_ANSWER_S)
        topic = query.get("topic", "")
        if (method, url.path) == ("GET", "/api/log-newest"):
            answer = self._newest_page(topic, query.get("after", ""))
        elif (method, url.path) == ("GET", "/api/log-read"):
            answer = await self._read(topic, query)
        elif (method, url.path) == ("POST", "/api/log-append"):
            answer = self._append_all(topic, query, body)
        else:
            answer = response(400)
        writer.write(answer)
        await writer.drain()
        return True

    def _newest_page(self, topic: str, after: str) -> bytes:
        newest = self._newest.get(topic, {})
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        page = {
            "items": items,
            "hasMore": len(keys) > 500,
            "end": len(self._records.get(topic, [])),
        }
        return response(200, json.dumps(page).encode(), {"Content-Type": "application/json"})

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        until = now() + int(query.get("waitMs", "0")) / 1000
        records = self._records.setdefault(topic, [])
        while start >= len(records) and (left_s := until - now()) > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._appended.wait()
        body = struct.pack(">QQ", len(records), 0)
        size = 0
        for record in records[start:]:
            size += len(record)
            if size > 1024 * int(query.get("maxKb", "1024")) and size > len(record):
                break
            body += struct.pack(">I", len(record)) + record
        return response(200, body, {"Content-Type": "application/octet-stream"})

    def _append_all(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        end = len(self._records.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return response(412, json.dumps({"end": end}).encode())
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            self._append(topic, body[position + 4 : position + 4 + length])
            position += 4 + length
        answer = {"offset": end, "end": len(self._records.get(topic, []))}
        return response(200, json.dumps(answer).encode(), {"Content-Type": "application/json"})


# --- Workers --------------------------------------------------------------------------


class Worker(Server):
    """A worker of the plain service.

    It serves one request at a time on a channel, and ends a request whose channel closes.
    """

    slots = 6
    work_s = 0.03

    def __init__(self, store: Store, record: Record, id: str, zone: str) -> None:
        self.store, self.record = store, record
        self.id, self.zone = id, zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self._seals = itertools.count(1)

    def entry(self) -> bytes:
        row = {
            "service": PLAIN, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "seqNo": 0, "born": self.born,
        }
        return json.dumps(row).encode()

    async def open(self, host: str) -> None:
        """Starts, and registers in the store.

        Heartbeats that change nothing but ``seqNo`` make no record.
        """
        await self.start(host)
        self.store.put("keyed.servers", self.id, self.entry())

    def unregister(self) -> None:
        """Removes its entry; it never reports that it leaves, and serves on."""
        self.store.put("keyed.servers", self.id, b"")

    def drain(self) -> None:
        """Reports that it leaves, and serves on."""
        self.state = "draining"
        self.store.put("keyed.servers", self.id, self.entry())

    async def handle(self, method, target, headers, body, reader, writer) -> bool:
        expected = headers.get("x-cicadacourse-expect-instance")
        id = headers.get("x-cicadacourse-request-id", "")
        if expected not in (None, self.id):
            writer.write(response(421, b"", {"X-Cicadacourse-Not-Executed": "1", "X-Cicadacourse-Request-Id": id}))
            return True
        if target == "/health":
            is_well = self.state == "ready"
            writer.write(response(200 if is_well else 503, b"", {"X-Cicadacourse-Instance-Id": self.id}))
            return True
        if not id:
            writer.write(response(400, b"", {"X-Cicadacourse-Not-Executed": "1"}))
            return True
        self.arrivals.append((now(), id, f"{method} {target}"))
        self.record.write(f"worker {self.id}: gets {method} {target} id {id}")
        return await self.run(method, target, headers, body, reader, writer, id)

    def seal(self, id: str) -> dict[str, str]:
        return {
            "X-Cicadacourse-Request-Id": id,
            "X-Cicadacourse-Server-Seal": f"{self.id}.{next(self._seals)}.{id}",
        }

    async def run(self, method, target, headers, body, reader, writer, id) -> bool:
        self.runs.append((now(), id, f"{method} {target}"))
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"answer of {self.id} to {id}".encode(), self.seal(id)))
        await writer.drain()
        return True


def configuration(version: int = 1, **fields) -> bytes:
    """Returns a desired state with one safe and one unsafe route."""
    def route(name, prefix, kind, attempts):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "service": PLAIN,
            "kind": kind, "timeoutMs": 800, "targetLatencyMs": 250,
            "maxAttempts": attempts, "priority": 2, "public": False, "sticky": False,
        }
    state = {
        "version": version,
        "routes": [
            route("alert-lookup", "/lookup/", "safe", 2),
            route("alert-publish", "/publish/", "unsafe", 1),
        ],
        "services": [{"name": PLAIN, "healthPath": "/health", "maxConns": 100}],
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 65536, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 10000, "idleTimeoutMs": 60000,
        },
        **fields,
    }
    return json.dumps(state).encode()


# --- A proxy on one link --------------------------------------------------------------


class Link:
    """Forwards connections; the open ones can be silenced for good."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.open = 0
        self._generation = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str) -> str:
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def silence_open(self) -> None:
        """Holds back all bytes, and the ends, of the open connections for good."""
        self._generation += 1

    async def _accept(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        generation = self._generation
        host, _, port = self.target.rpartition(":")
        try:
            there_reader, there_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return

        async def copy(source, sink) -> None:
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    if generation != self._generation:
                        break
                    sink.write(data)
                    await sink.drain()
            if generation != self._generation:
                await asyncio.Event().wait()
            sink.close()

        self.open += 1
        await asyncio.gather(copy(reader, there_writer), copy(there_reader, writer))
        self.open -= 1


# --- Instances ------------------------------------------------------------------------


def render(template: str, value, key="", is_last=True, outer=()) -> str:
    """Fills in a template as DEPLOY.md tells."""
    scopes = (value, *outer)

    def find(name):
        if name == ".":
            return value
        for scope in scopes:
            found = scope
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text(name):
        if name == "@":
            return str(key)
        if name == ",":
            return "" if is_last else ","
        found = find(name)
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(map(str, found))
        if isinstance(found, (dict, bool)):
            return json.dumps(found)
        return str(found)

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def expand(match):
        kind, name, inner = match.groups()
        found = find(name)
        if kind == "^":
            return render(inner, value, key, is_last, outer) if not found else ""
        if isinstance(found, dict):
            items = list(found.items())
        elif isinstance(found, list):
            items = list(enumerate(found))
        else:
            items = [] if found is None or found is False else [("", found)]
        return "".join(
            render(inner, item, item_key, number == len(items) - 1, scopes)
            for number, (item_key, item) in enumerate(items)
        )

    template = section.sub(expand, template)
    return re.sub(r"\{\{([^#^/}][^}]*)\}\}", lambda match: text(match.group(1)), template)


class Instance:
    """One instance, started by the command of the deploy file."""

    def __init__(self, folder: pathlib.Path, name: str, zone: str, ip: str, ports: dict, store: str, seeds: list[str]) -> None:
        self.name, self.zone, self.ip, self.ports = name, zone, ip, ports
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["instance"]
        self._command = role["run"].split()
        fields = {
            "nodeName": name, "role": "instance", "machineClass": "front", "ip": ip,
            "zone": zone, "region": REGION, "zones": {item: REGION for item in ZONES},
            "listen": {part: f"{ip}:{ports[part]}" for part in ("front", "ready", "control", "directory")},
            "internalPorts": [ports["inner"], ports["inner"] + 15], "seeds": seeds,
            "bootstrap": True, "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "platform": {"address": store, "form": "log", "writesPerS": 400, "readsPerS": 2000},
        }
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, fields))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CICADACOURSE_BOOT"] = str(self._settings)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=output, stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self.ready.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ready}\r\nConnection: close\r\n\r\n".encode())
                head = await read_head(reader)
                writer.close()
                return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, limit_s: float = 30.0) -> None:
        until = now() + limit_s
        while not await self.is_ready():
            if self.process.returncode is not None or now() > until:
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class CouldNotRun(Exception):
    """The case can't be run here."""


_net = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"


def loopback(number: int) -> str:
    """Returns a loopback address that only this script uses."""
    return f"{_net}.{number}"


def free_ports() -> dict[str, int]:
    """Returns ports that are free on all loopback addresses, the same for all machines."""
    while True:
        base = random.randint(12000, 30000)
        ports = [*range(base, base + 5), base + 20]
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as item:
                        item.bind(("0.0.0.0", port))
        except OSError:
            continue
        names = ("front", "ready", "control", "directory")
        return dict(zip(names, ports)) | {"inner": base + 20}


# --- Consumers ------------------------------------------------------------------------


class Channel:
    """A consumer's kept channel to one instance."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self.reader = self.writer = None

    async def ask(self, method, target, deadline_ms=1500, body=b"", headers=None, id=None, limit_s=None):
        """Sends a request; returns its id, and the status, body and headers of its answer.

        The status is 0 without a whole answer.
        """
        id = id or f"{random.getrandbits(64):016x}"
        lines = {
            "Host": HOST, "X-Cicadacourse-Request-Id": id,
            "X-Cicadacourse-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}", **(headers or {}),
        }
        if method == "POST":
            lines["Content-Length"] = str(len(body))
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self.record.write(f"consumer: sends {method} {target} id {id} to {self.address}")
        status, answer, answer_headers = 0, b"", {}
        try:
            async with asyncio.timeout(limit_s or deadline_ms / 1000):
                if self.writer is None:
                    host, _, port = self.address.rpartition(":")
                    self.reader, self.writer = await asyncio.open_connection(host, int(port))
                self.writer.write(head.encode() + b"\r\n" + body)
                found = await read_head(self.reader)
                if found is None:
                    raise ConnectionError("closed")
                answer_headers = found[1]
                answer = await read_body(self.reader, answer_headers)
                status = int(found[0].split(" ")[1])
                if found[1].get("connection", "").lower() == "close":
                    self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.write(f"consumer: {id} ends with {error!r}")
            self.close()
        self.record.write(f"consumer: {id} gets status {status}, {len(answer)} bytes")
        return id, status, answer, answer_headers

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def keep_asking(record, instance, per_s: float, until_s: float, requests=("GET /lookup/x",)) -> list:
    """Sends requests to an instance at a rate, each on a kept channel that is free."""
    free: list[Channel] = []
    tasks = []

    async def one(request: str):
        channel = free.pop() if free else Channel(record, instance.front)
        method, target = request.split(" ")
        result = await channel.ask(method, target, body=b"x" * 100 if method == "POST" else b"")
        if channel.writer is not None:
            free.append(channel)
        return (now(), instance.name, *result)

    for request in itertools.cycle(requests):
        if now() >= until_s:
            break
        tasks.append(asyncio.create_task(one(request)))
        await asyncio.sleep(random.expovariate(per_s))
    results = await asyncio.gather(*tasks)
    for channel in free:
        channel.close()
    return results


async def _run(case, record: Record, folder: pathlib.Path) -> int:
    """Runs a case as a task that a signal cancels, so that it ends its processes."""
    task = asyncio.create_task(case(record, folder))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def main(case) -> None:
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, else 2."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(_run(case, record, temporary))
    except (Exception, asyncio.CancelledError):
        record.write(f"could not run: {traceback.format_exc()}")
    finally:
        if "KEEP" in os.environ:
            print(temporary, file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write(f"verdict: {('held', 'BROKEN', 'could not run')[status]}")
    sys.stdout.flush()
    # Connections that are still open end with the process, without a report of each.
    os._exit(status)
