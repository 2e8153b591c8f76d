"""A large configuration that changes each second, while the store or peers have faults.

Callers use routes and keys as soon as every configuration that may be in force has
them, and keys that were taken away.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib

from cicadacourse.util.clock import now
from soak._callers import BOOKING, LOOKUP, REQUEST_PAUSE_S, Caller, RequestKind
from soak._checks import REMOVAL_BOUND_S, InvariantChecker
from soak._environment import Site, SoakEnvironment, running_environment
from soak._faults import select_faults
from soak._instances import InstanceProcess
from soak._proxy import LinkState, Proxy
from soak._scenario import FaultInjector, run_under_faults

# Half of the narrowest link of the grown deployments (10 Mbit/s). There, the 26
# instances of a failure domain fetch from each other, here fewer.
LINK_BYTES_PER_S = 600_000.0
# With these, a configuration has some 230 kB.
FIRST_ROUTES = 960
CHANGE_INTERVAL_S = 1.0
MAX_KEYS = 6
CALLERS_PER_INSTANCE = 2
# Most faults outlast the time after which a configuration must be in force.
DURATION_FACTOR = 3.0
# The share of the instances that the store or their peers don't reach.
AFFECTED_SHARE = 0.35
CONTACT_SAMPLE_S = 0.05
REACHABLE_STATES = frozenset({LinkState.PASS, LinkState.DELAY})

CONFIGURATION_FAULTS = select_faults("restart", "kill", "freeze")


async def run_configuration_scenario(
    folder: pathlib.Path, seed: int, size: int, inject: FaultInjector
) -> InvariantChecker:
    """Runs one seed; see :func:`soak._scenario.run_scenario`.

    The instances share one failure domain, so that most of them fetch configurations
    from others.
    """
    site = Site(size, 0, ("a",), LINK_BYTES_PER_S)
    async with running_environment(folder, seed, site) as environment:
        checker = InvariantChecker(environment)
        runs = [_record_contact(environment), _change_periodically(environment)]
        for number in range(CALLERS_PER_INSTANCE * size):
            runs.append(_send_proper(checker, Caller(environment, f"c{number}")))
        runs.append(_send_with_removed_keys(checker, Caller(environment, "old")))
        await run_under_faults(checker, runs, inject, (BOOKING, LOOKUP))
    return checker


@CONFIGURATION_FAULTS.register("store-for-some")
async def impair_store_for_some(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Lets the store ignore or refuse some instances."""
    state = environment.random.choice([LinkState.CUT_BOTH_WAYS, LinkState.RESET])
    links = [item.store_link for item in environment.instances]
    await _impair_some(environment, links, state, duration_s)


@CONFIGURATION_FAULTS.register("peers-of-some")
async def impair_peer_links(environment: SoakEnvironment, duration_s: float) -> None:
    """Delays or cuts the links through which others call some instances."""
    state = environment.random.choice([LinkState.CUT_BOTH_WAYS, LinkState.DELAY])
    await _impair_some(environment, environment.peer_links(), state, duration_s)


async def _impair_some(
    environment: SoakEnvironment,
    links: list[Proxy],
    state: LinkState,
    duration_s: float,
) -> None:
    count = max(1, round(AFFECTED_SHARE * len(links)))
    affected = environment.random.sample(links, count)
    for link in affected:
        link.set(state)
    await asyncio.sleep(DURATION_FACTOR * duration_s)
    for link in affected:
        link.set(LinkState.PASS)


async def _change_periodically(environment: SoakEnvironment) -> None:
    """Adds many routes, then changes routes and keys until cancelled."""
    chooser = environment.random_for("changes")
    prefixes = environment.added_prefixes
    prefixes += [f"/added/{number}/" for number in range(FIRST_ROUTES)]
    while True:
        prefixes.append(f"/added/{len(prefixes)}/")
        first, *added = environment.keys
        if chooser.random() < 0.5:
            added.append(f"key-{environment.version}")
        if len(added) > MAX_KEYS or (added and chooser.random() < 0.2):
            added.remove(chooser.choice(added))
        environment.change_keys([first, *added])
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _send_proper(checker: InvariantChecker, caller: Caller) -> None:
    """Sends requests that each configuration in force allows, until cancelled."""
    chooser, history = caller.chooser, checker.environment.history
    with contextlib.closing(caller):
        while True:
            await asyncio.sleep(chooser.expovariate(1 / REQUEST_PAUSE_S))
            prefixes, keys = history.allowed_by_all(now(), now())
            if not prefixes:
                continue
            newest = max(prefixes, key=_route_number)
            prefix = chooser.choice([newest, chooser.choice(sorted(prefixes))])
            key = chooser.choice(sorted(keys))
            attempt = await caller.send(RequestKind(f"{prefix}x"), key)
            if attempt is not None:
                checker.check_proper_request(attempt, prefix)
            if chooser.random() < 0.2:
                caller.close()


def _route_number(prefix: str) -> int:
    return int(prefix.split("/")[2])


async def _send_with_removed_keys(checker: InvariantChecker, caller: Caller) -> None:
    """Sends requests with keys that must no longer be accepted, until cancelled."""
    environment = checker.environment
    while True:
        await asyncio.sleep(REQUEST_PAUSE_S)
        removed = environment.removed_at_by_key.items()
        due = [key for key, at_s in removed if now() > at_s + REMOVAL_BOUND_S]
        for key in due[-2:]:
            attempt = await caller.send(LOOKUP, key)
            if attempt is not None:
                checker.check_key_out_of_force(attempt)
            caller.close()


async def _record_contact(environment: SoakEnvironment) -> None:
    """Records which instances can't be reached, until cancelled."""
    while True:
        for instance in environment.instances:
            if not is_reachable(environment, instance):
                instance.unreachable_at = now()
        await asyncio.sleep(CONTACT_SAMPLE_S)


def is_reachable(environment: SoakEnvironment, instance: InstanceProcess) -> bool:
    """Returns whether it runs and reaches the store, by itself or by another instance.

    Two instances reach each other if the links of both pass.
    """
    if _is_impaired(instance):
        return False
    if instance.store_link.state in REACHABLE_STATES:
        return True
    return _has_peer_link(instance) and any(
        not _is_impaired(other)
        and other.store_link.state in REACHABLE_STATES
        and _has_peer_link(other)
        for other in environment.instances
    )


def _has_peer_link(instance: InstanceProcess) -> bool:
    """Whether other instances reach it."""
    link = instance.peer_link
    return link is None or link.state in REACHABLE_STATES


def _is_impaired(instance: InstanceProcess) -> bool:
    """Whether it is being stopped, started or frozen."""
    return bool(instance.fault_window.active_faults)
