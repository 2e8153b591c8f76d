"""What happens to the fleet while the load runs: a registry of scenarios."""

from __future__ import annotations

import asyncio
from typing import Awaitable, Callable

import attrs

from bench.demo._scenario import programs, publish, set_fault
from bench.demo._tables import CHANGED_ROUTES
from bench.fleet import FAILURE_DOMAINS, Fleet, Program
from cicadacourse.registry import Registry

STOP_TIMEOUT_S = 120.0
STEP_S = 3.0
FREEZE_S = 10.0
OUTAGE_S = 10.0


@attrs.frozen
class Stage:
    """What a scenario works on.

    :param version: the version of the tables in force at the start.
    """

    fleet: Fleet
    entries: list[Program]
    version: int


Disturb = Callable[[Stage], Awaitable[dict[str, int]]]

SCENARIOS: Registry[Disturb] = Registry("scenario")
SPREAD_S_BY_SCENARIO = {"rolling-restart": 75.0, "freeze": 20.0, "log-outage": 20.0}
DEFAULT_SPREAD_S = 15.0


@SCENARIOS.register("default")
async def change_stop_and_kill(stage: Stage) -> dict[str, int]:
    """Publishes a change, stops one instance gracefully and kills another."""
    await asyncio.sleep(STEP_S)
    leaving, killed, *_ = stage.entries
    published = await asyncio.to_thread(
        publish, stage.fleet, stage.entries, CHANGED_ROUTES, stage.version
    )
    leaving.terminate()
    await asyncio.sleep(STEP_S)
    killed.kill()
    stopped = await asyncio.to_thread(leaving.wait, STOP_TIMEOUT_S)
    return {"publish": published["exit_status"], "graceful stop": stopped}


@SCENARIOS.register("rolling-restart")
async def restart_all(stage: Stage) -> dict[str, int]:
    """Stops each instance gracefully and starts it anew before the next."""
    statuses = {}
    for entry in stage.entries:
        entry.terminate()
        stopped = await asyncio.to_thread(entry.wait, STOP_TIMEOUT_S)
        statuses[f"graceful stop of {entry.name}"] = stopped
        await asyncio.to_thread(stage.fleet.restart_entry, entry.name)
    return statuses


@SCENARIOS.register("freeze")
async def freeze_one(stage: Stage) -> dict[str, int]:
    """Freezes one instance for longer than failure detection takes."""
    await asyncio.sleep(STEP_S)
    frozen = stage.entries[0]
    frozen.freeze()
    await asyncio.sleep(FREEZE_S)
    frozen.thaw()
    return {}


@SCENARIOS.register("log-outage")
async def outage_and_kill(stage: Stage) -> dict[str, int]:
    """Switches the log off, kills an instance meanwhile, switches the log on."""
    await asyncio.sleep(STEP_S)
    log = stage.fleet.programs_by_name["log"]
    set_fault(log, "outage")
    await asyncio.sleep(OUTAGE_S / 2)
    stage.entries[0].kill()
    await asyncio.sleep(OUTAGE_S / 2)
    set_fault(log, "outage", False)
    return {}


@SCENARIOS.register("lost-answers")
async def lose_log_answers(stage: Stage) -> dict[str, int]:
    """Lets the log and the services lose half and all of their answers."""
    set_fault(stage.fleet.programs_by_name["log"], "lose_answer", 0.5)
    services = programs(stage.fleet, "service-")
    await asyncio.sleep(STEP_S)
    set_fault(services[0], "lose_answer")
    await asyncio.sleep(OUTAGE_S)
    set_fault(services[0], "lose_answer", False)
    return {}


@SCENARIOS.register("domain")
async def lose_a_failure_domain(stage: Stage) -> dict[str, int]:
    """Kills the entries and engines of one failure domain and freezes its services."""
    await asyncio.sleep(STEP_S)
    domain = FAILURE_DOMAINS[-1]
    for program in [*stage.entries, *programs(stage.fleet, "engine-")]:
        if domain in program.name:
            program.kill()
    service = programs(stage.fleet, "service-")[-1]
    service.freeze()
    await asyncio.sleep(OUTAGE_S)
    service.thaw()
    return {}


@SCENARIOS.register("together")
async def several_at_once(stage: Stage) -> dict[str, int]:
    """Freezes an instance and kills an engine while the log loses answers."""
    await asyncio.sleep(STEP_S)
    log = stage.fleet.programs_by_name["log"]
    set_fault(log, "lose_answer", 0.5)
    frozen, killed = stage.entries[:2]
    frozen.freeze()
    programs(stage.fleet, "engine-")[0].kill()
    await asyncio.sleep(STEP_S)
    killed.kill()
    await asyncio.sleep(FREEZE_S)
    frozen.thaw()
    set_fault(log, "lose_answer", 0.0)
    return {}
