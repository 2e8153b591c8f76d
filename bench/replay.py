"""Simulates load shapes against modelled engines on a simulated clock.

Several instances place prompts as the program does. Each has its own load table and
receives the assignments of the others a few milliseconds later. No sockets are used, so
a minute of load takes a second and gives the same result each time.
"""

from __future__ import annotations

import argparse
import asyncio

import looptime

from bench._outcomes import Result
from bench._policies import POLICIES, Policy
from bench._shapes import BURST, CALM, LONG_PROMPTS, OVERLOAD, SHAPES, Shape
from bench._simulation import Simulation
from cicadacourse.util.clock import now

__all__ = [
    "BURST",
    "CALM",
    "LONG_PROMPTS",
    "OVERLOAD",
    "POLICIES",
    "Policy",
    "Result",
    "SHAPES",
    "Shape",
    "main",
    "replay",
]


def replay(shape: Shape, policy: Policy, seed: int) -> Result:
    """Simulates one shape under one policy and returns the outcomes."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(_run_shape(shape, policy, seed))
    finally:
        _cancel_remaining(loop)
        loop.close()


def _cancel_remaining(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels engines that still prefill for requests that have ended."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))


async def _run_shape(shape: Shape, policy: Policy, seed: int) -> Result:
    simulation = Simulation(policy, seed)
    arrivals = shape.draw_arrivals(simulation.random)
    started = now()
    tasks = []
    for number, (arrival_s, kind) in enumerate(arrivals):
        await asyncio.sleep(max(0.0, started + arrival_s - now()))
        tasks.append(asyncio.create_task(simulation.serve(kind, number)))
    await asyncio.gather(*tasks)
    return Result(tuple(simulation.outcomes))


def main() -> None:
    """Prints the share of prompts in time by shape, policy and kind."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")
    seed = parser.parse_args().seed
    print(f"{'shape':14}{'policy':16}{'short':>8}{'medium':>8}{'long':>8}")
    for shape in SHAPES:
        for name, policy in POLICIES.items():
            result = replay(shape, policy, seed)
            shares = [
                result.share_in_time(kind) for kind in ("short", "medium", "long")
            ]
            print(f"{shape.name:14}{name:16}" + "".join(f"{s:8.3f}" for s in shares))


if __name__ == "__main__":
    main()
