"""``python -m bench.demo``: runs a deployment as processes under a mixed load.

Six instances run against stand-ins of the platform. A scenario changes the tables by
the command line or injects faults, and the invariants are checked as in the soak.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from typing import Any, Awaitable, Callable

from cicadacourse.registry import Registry
from soak._checks import InvariantChecker
from soak._environment import DOMAINS, SoakEnvironment
from soak._faults import freeze, kill, make_store_lossy, restart, take_store_down
from soak._instances import ROOT
from soak._scenario import run_scenario

INSTANCES = 6
STEP_S = 3.0
# Longer than the instances take to detect a failure.
OUTAGE_S = 8.0
_NEW_ROUTE = """
[route again]
host = fleet.example
path_prefix = /ask/again/
kind = stream
pool = engines
timeout_s = 4
max_attempts = 2
resumable = yes
"""

Scenario = Callable[[SoakEnvironment, pathlib.Path], Awaitable[None]]
SCENARIOS: Registry[Scenario] = Registry("scenario")


class DemoError(Exception):
    """A command of the program ended with an error."""


@SCENARIOS.register("default")
async def change_stop_and_kill(
    environment: SoakEnvironment, folder: pathlib.Path
) -> None:
    """Publishes a change, restarts an instance gracefully, then kills one.

    Each is drawn at random, so both may be the same instance.
    """
    await publish_change(environment, folder)
    await restart(environment, STEP_S)
    await asyncio.sleep(STEP_S)
    await kill(environment, STEP_S)


@SCENARIOS.register("rolling-restart")
async def restart_all(environment: SoakEnvironment, folder: pathlib.Path) -> None:
    """Restarts the instances gracefully, one after the other."""
    for instance in environment.instances:
        with instance.fault_window.open():
            await instance.stop()
            await instance.start()
        await asyncio.sleep(STEP_S)


@SCENARIOS.register("freeze")
async def freeze_one(environment: SoakEnvironment, folder: pathlib.Path) -> None:
    """Freezes one instance for ``OUTAGE_S``."""
    await freeze(environment, OUTAGE_S)


@SCENARIOS.register("store-outage")
async def kill_during_store_outage(
    environment: SoakEnvironment, folder: pathlib.Path
) -> None:
    """Kills an instance while the store is unavailable."""
    outage = asyncio.create_task(take_store_down(environment, OUTAGE_S))
    await asyncio.sleep(STEP_S)
    await kill(environment, STEP_S)
    await outage


@SCENARIOS.register("lost-answers")
async def publish_while_store_lossy(
    environment: SoakEnvironment, folder: pathlib.Path
) -> None:
    """Changes the configuration while the store loses responses."""
    losses = asyncio.create_task(make_store_lossy(environment, OUTAGE_S))
    await asyncio.sleep(STEP_S)
    environment.change_keys([*environment.keys, "another-key"])
    await losses


@SCENARIOS.register("domain")
async def freeze_failure_domain(
    environment: SoakEnvironment, folder: pathlib.Path
) -> None:
    """Freezes every instance of one failure domain."""
    frozen = [
        item for item in environment.instances if item.failure_domain == DOMAINS[-1]
    ]
    for instance in frozen:
        instance.send(signal.SIGSTOP)
    await asyncio.sleep(OUTAGE_S)
    for instance in frozen:
        with instance.fault_window.open():
            instance.send(signal.SIGCONT)


@SCENARIOS.register("together")
async def inject_several_faults(
    environment: SoakEnvironment, folder: pathlib.Path
) -> None:
    """Freezes an instance and kills one while the store loses responses.

    Each is drawn at random, so both may be the same instance.
    """
    await asyncio.gather(
        make_store_lossy(environment, OUTAGE_S),
        freeze(environment, OUTAGE_S),
        kill(environment, STEP_S),
    )


async def publish_change(environment: SoakEnvironment, folder: pathlib.Path) -> None:
    """Publishes the tables in force with one more route and waits for all instances."""
    tables = folder / "tables"
    store = environment.fleet.operators_address
    fetched = await _command("publish", "--store", store, "--fetch", str(tables))
    routes = tables / "routes.ini"
    routes.write_text(routes.read_text() + _NEW_ROUTE)
    addresses = [f"{item.host}:{item.metrics_port}" for item in environment.instances]
    published = await _command(
        *("publish", "--store", store, "--wait"),
        *("--routes", str(routes), "--pools", str(tables / "pools.ini")),
        *("--organisations", str(tables / "organisations.ini")),
        *("--base", str(fetched["version"]), "--instances", ",".join(addresses)),
    )
    environment.version = published["version"]
    print(f"version {published['version']} is in force on {published['in_force']}")


async def _command(name: str, *arguments: str) -> dict[str, Any]:
    """Runs a command of the program and returns the JSON that it prints.

    :raises DemoError: if its exit status is not 0.
    """
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cicadacourse", name, "--json", *arguments),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise DemoError(f"{name} ended with {process.returncode}: {output.decode()}")
    return json.loads(output)


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scenario",
        choices=SCENARIOS.names(),
        default="default",
        help="the change or the faults to show",
    )
    return parser


def main(argv: list[str]) -> int:
    """Runs the demo; the exit status is 0 if no check failed."""
    arguments = get_parser().parse_args(argv)
    scenario = SCENARIOS.get(arguments.scenario)
    print(f"six instances under a mixed load; scenario: {arguments.scenario}")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        checker = asyncio.run(
            run_scenario(
                folder,
                arguments.seed,
                INSTANCES,
                lambda environment: scenario(environment, folder),
            )
        )
    print(render(checker))
    return 1 if checker.violations else 0


def render(checker: InvariantChecker) -> str:
    """Returns a line of JSON with the attempts by status and the violations."""
    summary = {
        "attempts": checker.statuses.total(),
        "by_status": dict(sorted(checker.statuses.items())),
        "broken": checker.violations,
    }
    return json.dumps(summary)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
