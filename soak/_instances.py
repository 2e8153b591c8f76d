"""Instances of the program as processes, which are controlled by signals."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import attrs

from cicadacourse.logs import INSTANCE_STARTED
from cicadacourse.util.clock import now
from soak._fault_window import FaultWindow
from soak._proxy import Proxy
from standins.ports import free_port

ROOT = pathlib.Path(__file__).parents[1]
DIRECTORY_TTL_S = 0.5
STOP_TIMEOUT_S = 15.0

_SETTINGS = """\
[instance]
name = {name}
failure_domain = {domain}
caller_address = {host}:{caller}
peer_address = {host}:{peer}
[store]
address = {store}
[listen]
ready_address = {host}:{ready}
directory_address = {host}:{directory}
metrics_address = {host}:{metrics}
directory_ttl_s = {ttl_s}
"""


@attrs.define(eq=False)
class InstanceProcess:
    """One instance; its addresses stay the same when its process is restarted.

    :param name: the instance's name.
    :param failure_domain: the failure domain in its settings.
    :param host: its own loopback address.
    :param folder: the folder for its settings and its output.
    :param store_link: the proxy between it and the store.
    :param peer_link: the proxy through which other instances call it; None if they
        call it directly.
    :param is_partitionable: whether its connections to endpoints can be cut.
    :param further_settings: further sections of its settings.
    :ivar fault_window: the faults on it and on its links.
    :ivar late_exits: how often its process did not exit in time after SIGTERM.
    :ivar bad_exits: exit statuses other than 0 after SIGTERM, of processes that had
        logged their start.
    :ivar unreachable_at: when neither the store nor another instance could last reach
        it, or it did not run; loop time in seconds.
    """

    name: str
    failure_domain: str
    host: str
    folder: pathlib.Path
    store_link: Proxy
    peer_link: Proxy | None = None
    is_partitionable: bool = False
    further_settings: str = ""
    caller_port: int = attrs.field(factory=free_port)
    peer_port: int = attrs.field(factory=free_port)
    ready_port: int = attrs.field(factory=free_port)
    metrics_port: int = attrs.field(factory=free_port)
    fault_window: FaultWindow = attrs.field(factory=FaultWindow)
    bad_exits: list[int] = attrs.field(factory=list)
    late_exits: int = 0
    unreachable_at: float = attrs.field(factory=now)
    _process: asyncio.subprocess.Process | None = None
    _output_offset: int = 0
    _is_killed: bool = False

    @property
    def caller_address(self) -> str:
        """Its address for requests from callers."""
        return f"{self.host}:{self.caller_port}"

    @property
    def output(self) -> pathlib.Path:
        """The file with its log lines and all other output of its processes."""
        return self.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Writes its settings file, which every start uses."""
        text = _SETTINGS.format(
            name=self.name,
            domain=self.failure_domain,
            host=self.host,
            caller=self.caller_port,
            peer=self.peer_port,
            store=self.store_link.address,
            ready=self.ready_port,
            directory=free_port(),
            metrics=self.metrics_port,
            ttl_s=DIRECTORY_TTL_S,
        )
        self._settings.write_text(text + self.further_settings)

    async def start(self) -> None:
        """Starts its process unless one is running."""
        if self.is_running:
            return
        with self.output.open("ab") as output:
            self._output_offset = output.tell()
            self._is_killed = False
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", *self._command()),
                cwd=ROOT,
                env={**os.environ, "CICADACOURSE_BOOT": str(self._settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def cuts(self) -> pathlib.Path:
        """The file that names the addresses it can't connect to."""
        return self.folder / f"{self.name}.cuts"

    def _command(self) -> tuple[str, ...]:
        if self.is_partitionable:
            return "soak._partitioned_instance", self.host, str(self.cuts), "serve"
        if self.peer_link is None:
            return "cicadacourse", "serve"
        return "soak._linked_instance", self.peer_link.target, "serve"

    @property
    def is_running(self) -> bool:
        """Whether its process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def peak_memory_mb(self) -> float:
        """The most resident memory of its process so far in MB, 0 if none runs."""
        if self._process is None or not self.is_running:
            return 0.0
        with contextlib.suppress(OSError, StopIteration):
            status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
            lines = (item for item in status.splitlines() if "VmHWM:" in item)
            return int(next(lines).split()[1]) * 1024 / 1_000_000
        return 0.0

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal to its process if one is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal_number)

    async def stop(self) -> None:
        """Stops the process with SIGTERM, or kills it after ``STOP_TIMEOUT_S``."""
        if self._process is None or not self.is_running:
            return
        # SIGTERM ends a process that has not yet installed its handler with status -15.
        has_started = self._has_started()
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self._process.wait()
        except TimeoutError:
            self.late_exits += 1
            await self.kill()
            return
        if status != 0 and has_started and not self._is_killed:
            self.bad_exits.append(status)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self._is_killed = True
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def _has_started(self) -> bool:
        """Whether the current process has logged that it started."""
        with self.output.open("rb") as output:
            output.seek(self._output_offset)
            return INSTANCE_STARTED.text.encode() in output.read()

    @property
    def _settings(self) -> pathlib.Path:
        return self.folder / f"{self.name}.ini"
