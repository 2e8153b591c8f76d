"""Starts the program as the deploy file does, beside stand-ins of its surroundings.

The cases of the second review share this module. The store and the workers are the
project's own stand-ins, in the process of the case. All addresses are loopback ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPENDENCIES = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPENDENCIES)]

from standins.platform import KEY, Fleet, make_configuration  # noqa: E402
from standins.ports import free_port, next_host  # noqa: E402

HOST = "fleet.example"
ZONES = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_TIMEOUT_S = 20.0
SEEDS = 3
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.5
# The bounds of the smallest deployments' sheets.
BOUNDS = {
    "drainMs": 2000,
    "configApplyMs": 2000,
    "idleMaxMs": 9000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 102,
    "budgetWindowS": 10,
}


class CouldNotRun(Exception):
    """The case could not be set up."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template as the platform does, without escapes and ``|json``."""

    def find(name: str, scope: dict[str, Any]) -> Any:
        value: Any = scope.get(".") if name == "." else scope
        if name in (".", "@", ","):
            return scope.get(name, "")
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else value[int(part)]
            if value is None:
                return None
        return value

    def section(match: re.Match[str], scope: dict[str, Any]) -> str:
        value = find(match[1], scope)
        if value is None or value is False:
            return ""
        pairs = list(value.items()) if isinstance(value, dict) else [("", value)]
        return "".join(
            fill(
                match[2],
                {**scope, "@": key, ".": item, ",": "," if n < len(pairs) else ""},
            )
            for n, (key, item) in enumerate(pairs, 1)
        )

    def fill(text: str, scope: dict[str, Any]) -> str:
        text = re.sub(
            r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
            lambda match: section(match, scope),
            text,
            flags=re.DOTALL,
        )

        def value(match: re.Match[str]) -> str:
            found = find(match[1], scope)
            if isinstance(found, list):
                return ",".join(map(str, found))
            return "" if found is None else str(found)

        return re.sub(r"\{\{([^#/}]+)\}\}", value, text)

    return fill(template, fields)


class Site:
    """The addresses of all machines, each of which has a loopback address of its own.

    :ivar port_by_name: the ports, which are the same on all machines.
    :ivar seeds: the control addresses of the first three machines.
    """

    def __init__(self) -> None:
        names = ("front", "ready", "control", "directory")
        self.port_by_name = {name: free_port() for name in names}
        self.internal_port = free_port()
        self._first_hosts = [next_host() for _ in range(SEEDS)]
        control = self.port_by_name["control"]
        self.seeds = [f"{host}:{control}" for host in self._first_hosts]

    def take_host(self) -> str:
        """Returns the address of the next machine."""
        return self._first_hosts.pop(0) if self._first_hosts else next_host()


class Machine:
    """One machine with the deploy file's only role, and its process.

    :ivar ends: how often its process has ended without being told to.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        bounds: dict[str, Any],
        site: Site,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["instance"]
        host = site.take_host()
        listen = {key: f"{host}:{port}" for key, port in site.port_by_name.items()}
        self.name = name
        self.address = listen["front"]
        self.ready_address = listen["ready"]
        self.process: subprocess.Popen[bytes] | None = None
        self._command = role["run"].split()
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        fields = {
            "nodeName": name,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "ip": host,
            "listen": listen,
            "internalPorts": [site.internal_port, site.internal_port],
            "seeds": site.seeds,
            "limits": {"cpuShare": 0.537, "cores": 2},
            "bounds": bounds,
            "platform": {"address": store},
        }
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, fields))

    def start(self) -> None:
        """Starts its process."""
        names = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in names if key in os.environ}
        env["PYTHONPATH"] = str(DEPENDENCIES)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CICADACOURSE_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process if that runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills its process and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def memory_mb(self) -> float:
        """The resident memory of its process, 0 if it does not run."""
        if not self.is_running:
            return 0.0
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    async def wait_until_ready(self) -> None:
        """Waits until the platform's question for readiness gets a 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                status, _ = await send(self.ready_address, "GET", "/api/ready", {})
            except (OSError, EOFError, TimeoutError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready")


class Record:
    """What was sent, answered and run, as lines of the file ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Writes one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes one line, and prints it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class StoreLink:
    """A proxy between one machine and the store, which can be cut.

    :ivar registry_reads: how often the machine has read the list of workers.
    """

    def __init__(self, store: str) -> None:
        self.address = ""
        self.registry_reads = 0
        self._store = store
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a loopback address from now on."""
        server = await asyncio.start_server(self._serve, next_host(), 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._server = server

    def cut(self) -> None:
        """Ends all channels; new ones are ended at once until :meth:`heal`."""
        self._is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Lets new channels through again."""
        self._is_cut = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        host, _, port = self._store.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        writers = {writer, store_writer}
        self._writers |= writers
        await asyncio.gather(
            self._copy(reader, store_writer, True),
            self._copy(store_reader, writer, False),
        )
        self._writers -= writers

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_call: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if is_call and b"/api/log-read?topic=keyed.servers" in data:
                    self.registry_reads += 1
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Sends one request on a new channel; returns the status and the whole body.

    :raises OSError: if there is no channel, or it breaks.
    :raises EOFError: if it ends before the answer does.
    :raises TimeoutError: if the answer is not whole in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = {"Host": HOST, **headers, "Content-Length": str(len(body))}
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{key}: {value}\r\n" for key, value in lines.items())
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            return await _read_answer(reader)
        finally:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    line = await reader.readline()
    if not line:
        raise EOFError
    length = 0
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return int(line.split()[1]), await reader.readexactly(length)


def make_headers(
    timeout_ms: int, key: str | None = KEY, request_id: str = ""
) -> dict[str, str]:
    """Returns the headers of one consumer attempt."""
    headers = {
        "X-Cicadacourse-Request-Id": request_id or secrets.token_hex(8),
        "X-Cicadacourse-Deadline-Ms": str(timeout_ms),
    }
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    return headers


def run_case(main: Any, folder: pathlib.Path) -> None:
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param main: a coroutine function, called with a fleet that is served, a function
        that makes a machine, and the record; it returns whether the rule was broken.
    """
    record = Record(folder)
    machines: list[Machine] = []
    site = Site()

    async def run(work: pathlib.Path) -> bool:
        task = asyncio.current_task()
        assert task is not None
        # The time limit of the script ends the processes as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with Fleet(next_host()).running() as fleet:

            def make_machine(zone: str = "", store: str = "", **bounds: Any) -> Machine:
                number = len(machines)
                zone = zone or list(ZONES)[number % len(ZONES)]
                machine = Machine(
                    f"front-{zone}-{number}",
                    zone,
                    store or fleet.store_address,
                    work,
                    BOUNDS | bounds,
                    site,
                )
                machines.append(machine)
                return machine

            try:
                return await main(fleet, make_machine, record)
            finally:
                for machine in machines:
                    machine.kill()

    try:
        with tempfile.TemporaryDirectory() as work:
            is_broken = asyncio.run(run(pathlib.Path(work)))
    except (CouldNotRun, OSError, asyncio.CancelledError) as error:
        record.say(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    finally:
        record.close()
    sys.exit(BROKEN if is_broken else HELD)


__all__ = [
    "IS_TROUBLE",
    "KEY",
    "RESTART_DELAY_S",
    "CouldNotRun",
    "Machine",
    "Record",
    "StoreLink",
    "json",
    "make_configuration",
    "make_headers",
    "run_case",
    "send",
]
