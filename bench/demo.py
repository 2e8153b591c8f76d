"""``python -m bench.demo``: the whole path as processes under a mixed load.

Stand-ins of the platform, six instances, a change of the tables by the command line,
and faults by scenario. What callers and endpoints see is checked as in the soak.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from typing import Awaitable, Callable

from cicadacourse.registry import Registry
from soak._checks import InvariantChecker
from soak._faults import freeze, kill, make_store_lossy, restart, take_store_down
from soak._instances import ROOT
from soak._play import run_scenario
from soak._world import DOMAINS, SoakEnvironment

INSTANCES = 6
STEP_S = 3.0
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


class DemoFailed(Exception):
    """A command did not do what the demo shows."""


@SCENARIOS.register("default")
async def change_stop_and_kill(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Publishes a change, stops one instance gracefully and kills another."""
    await publish_change(world, folder)
    await restart(world, STEP_S)
    await asyncio.sleep(STEP_S)
    await kill(world, STEP_S)


@SCENARIOS.register("rolling-restart")
async def restart_all(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Stops each instance gracefully and starts it anew before the next."""
    for instance in world.instances:
        with instance.fault_window.open():
            await instance.stop()
            await instance.start()
        await asyncio.sleep(STEP_S)


@SCENARIOS.register("freeze")
async def freeze_one(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Freezes one instance for longer than failure detection takes."""
    await freeze(world, OUTAGE_S)


@SCENARIOS.register("store-outage")
async def outage_and_kill(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Takes the store away and kills an instance meanwhile."""
    outage = asyncio.create_task(take_store_down(world, OUTAGE_S))
    await asyncio.sleep(STEP_S)
    await kill(world, STEP_S)
    await outage


@SCENARIOS.register("lost-answers")
async def lose_answers(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Lets the store lose answers while the tables change."""
    losses = asyncio.create_task(make_store_lossy(world, OUTAGE_S))
    await asyncio.sleep(STEP_S)
    world.change_keys([*world.keys, "another-key"])
    await losses


@SCENARIOS.register("domain")
async def lose_a_failure_domain(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Freezes every instance of one failure domain."""
    lost = [item for item in world.instances if item.failure_domain == DOMAINS[-1]]
    for instance in lost:
        instance.send(signal.SIGSTOP)
    await asyncio.sleep(OUTAGE_S)
    for instance in lost:
        with instance.fault_window.open():
            instance.send(signal.SIGCONT)


@SCENARIOS.register("together")
async def several_at_once(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Freezes an instance and kills another while the store loses answers."""
    await asyncio.gather(
        make_store_lossy(world, OUTAGE_S), freeze(world, OUTAGE_S), kill(world, STEP_S)
    )


async def publish_change(world: SoakEnvironment, folder: pathlib.Path) -> None:
    """Fetches the tables in force, adds a route and puts it in force everywhere."""
    tables = folder / "tables"
    store = world.fleet.operators_address
    fetched = await _command("publish", "--store", store, "--fetch", str(tables))
    routes = tables / "routes.ini"
    routes.write_text(routes.read_text() + _NEW_ROUTE)
    addresses = [f"{item.host}:{item.metrics_port}" for item in world.instances]
    published = await _command(
        *("publish", "--store", store, "--wait"),
        *("--routes", str(routes), "--pools", str(tables / "pools.ini")),
        *("--organisations", str(tables / "organisations.ini")),
        *("--base", str(fetched["version"]), "--instances", ",".join(addresses)),
    )
    world.version = published["version"]
    print(f"version {published['version']} is in force on {published['in_force']}")


async def _command(name: str, *arguments: str) -> dict[str, object]:
    """Runs one of the program's commands and returns what it prints as JSON."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cicadacourse", name, "--json", *arguments),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise DemoFailed(f"{name} ended with {process.returncode}: {output.decode()}")
    return json.loads(output)


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(prog="bench.demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scenario", choices=SCENARIOS.names(), default="default", help="what happens"
    )
    return parser


def main(argv: list[str]) -> int:
    """Runs the demo; exit status 0 only if every promise held."""
    arguments = get_parser().parse_args(argv)
    scenario = SCENARIOS.get(arguments.scenario)
    print(f"six instances under a mixed load; scenario: {arguments.scenario}")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        judge = asyncio.run(
            run_scenario(
                folder,
                arguments.seed,
                INSTANCES,
                lambda world: scenario(world, folder),
            )
        )
    print(render(judge))
    return 1 if judge.violations else 0


def render(judge: InvariantChecker) -> str:
    """Returns the line of JSON that tells how attempts ended, and what broke."""
    sums = {
        "attempts": judge.statuses.total(),
        "by_status": dict(sorted(judge.statuses.items())),
        "broken": judge.violations,
    }
    return json.dumps(sums)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
