"""The demo's fleet: starting it, publishing to it, and judging it afterwards."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import urllib.request
from typing import Any

from bench.demo._tables import POOLS, ROUTES
from bench.fleet import FAILURE_DOMAINS, Fleet, Program, wait_for_http

ENGINES_PER_DOMAIN = 3
SERVICES = 3
ENTRIES_PER_DOMAIN = 2
PUBLISH_TIMEOUT_S = 30.0
HTTP_TIMEOUT_S = 10.0


def start_fleet(fleet: Fleet) -> list[Program]:
    """Starts stand-ins and entry instances; returns the entry instances."""
    fleet.start_platform()
    for domain in FAILURE_DOMAINS:
        for index in range(ENGINES_PER_DOMAIN):
            name = f"engine-{domain}-{index}"
            fleet.start_endpoint("engine", name, "engines", domain)
    for index in range(SERVICES):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        fleet.start_endpoint("service", f"service-{index}", "services", domain)
    return [
        fleet.start_entry(f"entry-{domain}-{index}", domain)
        for domain in FAILURE_DOMAINS
        for index in range(ENTRIES_PER_DOMAIN)
    ]


def publish(
    fleet: Fleet, entries: list[Program], routes: str, base: int
) -> dict[str, Any]:
    """Publishes tables with the command line; returns its JSON answer."""
    routes_file = write(fleet.folder / "routes.ini", routes)
    pools_file = write(fleet.folder / "pools.ini", POOLS)
    command = [sys.executable, "-m", "cicadacourse", "publish", "--json", "--wait"]
    command += ["--log-address", fleet.log_address, "--base", str(base)]
    command += ["--routes", str(routes_file), "--pools", str(pools_file)]
    command += ["--instances", ",".join(entry.address for entry in entries)]
    result = subprocess.run(command, capture_output=True, timeout=PUBLISH_TIMEOUT_S * 2)
    answer = json.loads(result.stdout or "{}")
    return {**answer, "exit_status": result.returncode, "log": result.stderr.decode()}


def write(path: pathlib.Path, text: str) -> pathlib.Path:
    """Writes a file and returns its path."""
    path.write_text(text)
    return path


def wait_until_ready(entries: list[Program]) -> None:
    """Waits until every instance has tables in force."""
    for entry in entries:
        wait_for_http(entry.address, "/ready")


def set_fault(program: Program, fault: str, value: Any = True) -> None:
    """Switches a fault of a stand-in on or off."""
    request = urllib.request.Request(
        f"http://{program.address}/faults",
        data=json.dumps({"fault": fault, "value": value}).encode(),
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
        pass


def get_json(address: str, path: str) -> Any:
    """Returns the JSON at a path of a stand-in."""
    with urllib.request.urlopen(
        f"http://{address}{path}", timeout=HTTP_TIMEOUT_S
    ) as answer:
        return json.load(answer)


def runs_by_request(fleet: Fleet) -> dict[str, int]:
    """Returns how often each request ran, counted by the plain services."""
    runs: dict[str, int] = {}
    for program in programs(fleet, "service-"):
        for request, count in get_json(program.address, "/runs")["runs"].items():
            runs[request] = runs.get(request, 0) + count
    return runs


def kv_used(fleet: Fleet) -> int:
    """Returns the KV memory that living engines' sessions still hold, in tokens."""
    answers = [
        get_json(program.address, "/sessions")
        for program in programs(fleet, "engine-")
        if program.process.poll() is None
    ]
    return sum(answer["kv_used"] for answer in answers)


def programs(fleet: Fleet, prefix: str) -> list[Program]:
    """Returns the fleet's programs whose names start with a prefix."""
    by_name = fleet.programs_by_name
    return [by_name[name] for name in sorted(by_name) if name.startswith(prefix)]


def tables_of_the_start() -> str:
    """Returns the routes that are published first."""
    return ROUTES
