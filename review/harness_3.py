"""What the scripts of review 3 share: a small deployment on loopback addresses.

The store and the workers are the project's stand-ins, in the process of the script. The
instances are processes of their own, started with the command of ``deploy/system.toml``
and settings that are rendered from ``deploy/instance.ini``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import sys
import tomllib
from typing import Any, AsyncIterator, Callable, Mapping

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPENDENCIES = ROOT / "target" / "deps"
for folder in (str(ROOT), str(DEPENDENCIES)):
    if folder not in sys.path:
        sys.path.insert(0, folder)

from standins.platform import Fleet  # noqa: E402
from standins.ports import free_port, next_host  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Those of the small deployments.
LIMITS = {"memoryMb": 300, "maxFds": 4100, "cpuShare": 0.537, "cores": 2}
BOUNDS = {
    "drainMs": 2000,
    "configApplyMs": 2000,
    "idleMaxMs": 9000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 102,
    "budgetWindowS": 10,
}
START_TIMEOUT_S = 20.0


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = asyncio.get_running_loop().time()

    def write(self, text: str) -> None:
        """Adds a line with the seconds since the start."""
        at_s = asyncio.get_running_loop().time() - self._started
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()


def deploy_command() -> list[str]:
    """Returns the command of the deploy file's role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    return str(role["run"]).split()


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fills in a template of settings, as the platform does, with plain fields."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, Mapping) else None
        return value

    def as_text(value: Any) -> str:
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match: re.Match[str]) -> str:
        value, body = find(match[1]), match[2]
        if value is None:
            return ""
        if not isinstance(value, Mapping):
            return body.replace("{{.}}", as_text(value))
        texts = []
        for number, (key, item) in enumerate(value.items()):
            comma = "," if number < len(value) - 1 else ""
            text = body.replace("{{@}}", key).replace("{{.}}", as_text(item))
            texts.append(text.replace("{{,}}", comma))
        return "".join(texts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: as_text(find(match[1])), text)


class Instance:
    """One instance of the program; a restart keeps its addresses."""

    def __init__(
        self,
        name: str,
        zone: str,
        folder: pathlib.Path,
        store_address: str,
        bounds: Mapping[str, Any] | None = None,
        host: str | None = None,
    ) -> None:
        self.name = name
        self.host = host or next_host()
        self.caller_address = f"{self.host}:{free_port(self.host)}"
        self.ready_address = f"{self.host}:{free_port(self.host)}"
        self.directory_address = f"{self.host}:{free_port(self.host)}"
        self.peer_port = free_port(self.host)
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        self.process: asyncio.subprocess.Process | None = None
        fields = {
            "nodeName": name,
            "zone": zone,
            "region": "dk-east",
            "zones": {f"dk-east-{item}": "dk-east" for item in "abc"},
            "ip": self.host,
            "listen": {
                "front": self.caller_address,
                "ready": self.ready_address,
                "directory": self.directory_address,
            },
            "internalPorts": [self.peer_port, self.peer_port + 15],
            "seeds": [],
            "limits": LIMITS,
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store_address},
        }
        template = (ROOT / "deploy" / "instance.ini").read_text()
        self._settings.write_text(render(template, fields))

    async def start(self) -> None:
        """Starts its process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CICADACOURSE_BOOT"] = str(self._settings)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def is_ready(self) -> bool:
        """Returns whether its readiness probe answers with 200."""
        host, _, port = self.ready_address.partition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        """Waits for the probe.

        :raises CannotRun: if it does not answer in time.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CannotRun(f"{self.name} is not ready") from None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if that runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends its process."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


@contextlib.asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    """Runs the store; workers are added by its user."""
    fleet = Fleet(next_host())
    async with fleet.running():
        yield fleet


@contextlib.asynccontextmanager
async def running_instances(*instances: Instance) -> AsyncIterator[None]:
    """Starts instances, waits until all are ready, and ends them."""
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_until_ready()
        yield
    finally:
        for instance in instances:
            await instance.kill()


def play(case: Callable[[], Any]) -> int:
    """Runs a case within its time and returns the exit status of its script."""

    async def run() -> bool:
        async with asyncio.timeout(110.0):
            return await case()

    try:
        is_broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    print("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


def encode(row: Any) -> bytes:
    """Returns a value as JSON."""
    return json.dumps(row).encode()
