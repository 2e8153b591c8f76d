"""In-memory clusters on a simulated clock, and the traffic of their instances."""

from __future__ import annotations

from typing import Any, Coroutine, Iterable, TypeVar

import attrs
import looptime

from cicadacourse.application import Application
from cicadacourse.peers import MESSAGES
from standins.memory_cluster import MemoryCluster

T = TypeVar("T")

NOOP_CYCLES = 2


def run_with_simulated_clock(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a simulated clock, which advances without waiting."""
    loop = looptime.new_event_loop(noop_cycles=NOOP_CYCLES)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


@attrs.frozen
class Traffic:
    """The calls and bytes that the instances of a cluster have sent so far."""

    calls: float
    sent_bytes: float

    def since(self, before: Traffic) -> Traffic:
        """Returns the traffic sent after an earlier measurement."""
        return Traffic(self.calls - before.calls, self.sent_bytes - before.sent_bytes)


def measure_traffic(apps: Iterable[Application], service: str) -> Traffic:
    """Returns the traffic of one service's messages, replies included."""
    calls = sent_bytes = 0.0
    for app in apps:
        calls += _sum(app.metrics, "peer_calls_sent_total", service)
        sent_bytes += _sum(app.metrics, "peer_bytes_sent_total", service)
    return Traffic(calls, sent_bytes)


def _sum(metrics: Any, name: str, service: str) -> float:
    return sum(
        metrics.value(name, message=message)
        for message in MESSAGES
        if message.startswith(f"{service}.")
    )


async def start_cluster(cluster: MemoryCluster, names: list[str]) -> None:
    """Starts instances that all know each other before the first gossip round."""
    for name in names:
        cluster.add_contact(name)
    for name in names:
        await cluster.start(name)
    services = cluster.services("membership")
    for service in services:
        for other in services:
            if other is not service:
                service.view.merge(other.self_member(), 0.0)
        service.finish_refresh(has_synced=True)
