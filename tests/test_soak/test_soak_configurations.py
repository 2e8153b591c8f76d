"""Tests of the soak's checks while the configuration changes.

If they allowed too much or judged an instance that nothing reaches, the soak would pass
over requests that are denied by an old configuration, or report faults of its own.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cicadacourse.util.clock import now
from soak._callers import Attempt, RequestKind
from soak._checks import REMOVAL_BOUND_S, InvariantChecker
from soak._configuration_scenario import is_reachable
from soak._configurations import APPLY_BOUND_S, ConfigurationHistory
from soak._instances import InstanceProcess
from soak._proxy import RATE_CATCH_UP_S, LinkState, RateLimit
from tests.test_soak.histories import make_attempt, make_instance

PREFIX = "/added/1/"


@pytest.mark.looptime
async def test_additions_are_proper_after_the_bound_and_removals_at_once() -> None:
    history = ConfigurationHistory()
    history.record(now(), ["/a/"], ["old"])
    await asyncio.sleep(1.0)
    history.record(now(), ["/a/", "/b/"], ["new"])
    acknowledged_at = now()
    shortly_before = acknowledged_at + APPLY_BOUND_S - 0.1
    assert history.allowed_by_all(shortly_before, shortly_before) == ({"/a/"}, set())
    after = acknowledged_at + APPLY_BOUND_S
    assert history.allowed_by_all(after, after) == ({"/a/", "/b/"}, {"new"})
    # A response may also follow from a configuration that was sent during the request.
    assert history.allowed_by_all(0.5, 0.9) == ({"/a/"}, {"old"})
    assert history.allowed_by_all(0.5, 1.0) == ({"/a/"}, set())


@pytest.mark.looptime
@pytest.mark.parametrize("status", [401, 404])
async def test_a_proper_request_that_is_denied_breaks_an_invariant(status: int) -> None:
    checker, instance = _make_checker()
    await asyncio.sleep(2 * APPLY_BOUND_S)
    checker.check_proper_request(_make_attempt(instance, status), PREFIX)
    assert len(checker.violations) == 1
    checker.check_proper_request(_make_attempt(instance, 503), PREFIX)
    checker.check_proper_request(_make_attempt(instance, status), "/unknown/")
    instance.unreachable_at = now() - APPLY_BOUND_S
    checker.check_proper_request(_make_attempt(instance, status), PREFIX)
    assert len(checker.violations) == 1


@pytest.mark.looptime
async def test_a_removed_key_that_is_served_breaks_an_invariant() -> None:
    checker, instance = _make_checker()
    await asyncio.sleep(2 * REMOVAL_BOUND_S)
    checker.check_key_out_of_force(_make_attempt(instance, 200))
    assert len(checker.violations) == 1
    checker.check_key_out_of_force(_make_attempt(instance, 401))
    instance.unreachable_at = now() - REMOVAL_BOUND_S
    checker.check_key_out_of_force(_make_attempt(instance, 200))
    assert len(checker.violations) == 1


async def test_an_instance_is_reachable_by_the_store_or_an_instance_it_reaches() -> (
    None
):
    environment: Any = SimpleNamespace(instances=[make_instance(), make_instance()])
    first, second = environment.instances
    first.store_link.state = LinkState.CUT_BOTH_WAYS
    assert is_reachable(environment, first)
    second.peer_link.state = LinkState.CUT_BOTH_WAYS
    assert not is_reachable(environment, first)
    second.peer_link.state = LinkState.DELAY
    assert is_reachable(environment, first)
    with second.fault_window.open():
        assert not is_reachable(environment, first)
    second.store_link.state = LinkState.RESET
    assert not is_reachable(environment, first)
    first.store_link.state = LinkState.PASS
    assert is_reachable(environment, first)
    with first.fault_window.open():
        assert not is_reachable(environment, first)


@pytest.mark.looptime
async def test_connections_share_the_rate_of_a_link() -> None:
    limit = RateLimit(bytes_per_s=1000)
    await asyncio.sleep(1.0)
    started = now()
    await asyncio.gather(limit.pass_bytes(500), limit.pass_bytes(1500))
    assert now() - started == pytest.approx(2.0 - RATE_CATCH_UP_S)


def _make_checker() -> tuple[InvariantChecker, InstanceProcess]:
    history = ConfigurationHistory()
    history.record(now(), [PREFIX], ["key"])
    environment: Any = SimpleNamespace(history=history)
    return InvariantChecker(environment), make_instance()


def _make_attempt(instance: InstanceProcess, status: int) -> Attempt:
    return make_attempt(instance, RequestKind(f"{PREFIX}x"), status, now(), now())
