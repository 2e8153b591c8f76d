"""Measures claims and appends a second, batched and one by one.

Run it with ``python -m bench.measure_claims``. Instances share one log in memory that
takes a limited number of appends a second; claims are offered at several rates, and
each one that is won records an outcome.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

import attrs
from returns.result import Success

from cicadacourse.claims import ClaimKind, Keeper, PartitionFold
from cicadacourse.claims._model import PARTITIONS, get_partition, get_stream
from cicadacourse.claims._records import OutcomeRecord
from cicadacourse.metrics import Metrics
from cicadacourse.util.clock import now
from standins.log import LogCore

APPENDS_PER_S = 400.0
APPEND_LATENCY_S = 0.005
HORIZON_S = 1800.0
RETENTION_S = 3600.0
TIME_LIMIT_S = 2.0
BATCHED_INTERVAL_S = 0.25
BODY = b'{"seat": 7}'


@attrs.frozen
class Row:
    """The figures of one way at one offered rate."""

    way: str
    offered_per_s: float
    won_per_s: float
    refused_share: float
    unrecorded_share: float
    appends_per_s: float
    p50_ms: float
    p95_ms: float
    cpu_us_per_claim: float


class LoneAppender:
    """The naive way: one append for each claim."""

    def __init__(self, log: LogCore, stream: str) -> None:
        self._log = log
        self._stream = stream

    async def append(self, body: bytes, deadline: float) -> object:
        """Appends one record alone."""
        result = await self._log.append(self._stream, [body], TIME_LIMIT_S)
        return result.map(lambda records: records[0].offset)

    async def stop(self) -> None:
        """Has nothing to stop."""


def make_keeper(log: LogCore, partition: int, batched: bool) -> Keeper:
    """Returns the keeper of a partition."""
    stream = get_stream(partition)
    fold = PartitionFold(HORIZON_S, RETENTION_S)
    keeper = Keeper(log, stream, fold, BATCHED_INTERVAL_S, Metrics())
    if not batched:
        keeper._appender = LoneAppender(log, stream)
    return keeper


async def measure(batched: bool, rate: float, seconds: float, seed: int) -> Row:
    """Offers claims at a rate for some seconds; returns the figures."""
    log = LogCore(retention_s=RETENTION_S, appends_per_s=APPENDS_PER_S, seed=seed)
    log.faults.slow_s = APPEND_LATENCY_S
    keepers = [make_keeper(log, index, batched) for index in range(PARTITIONS)]
    rng = random.Random(seed)
    times_s: list[float] = []

    async def claim_one(index: int) -> None:
        key = f"{log.time_ms // 1000}-{index}"
        started = now()
        keeper = keepers[get_partition(key)]
        result = await keeper.claim(key, str(index), "r", started + TIME_LIMIT_S)
        match result:
            case Success(outcome) if outcome.kind is ClaimKind.WON:
                times_s.append(now() - started)
                await record_outcome(keeper, key, str(index))

    async def record_outcome(keeper: Keeper, key: str, claim_id: str) -> None:
        nonlocal recorded
        record = OutcomeRecord(key=key, claim_id=claim_id, status=200, body=BODY)
        result = await keeper.record_outcome(record, now() + TIME_LIMIT_S)
        recorded += isinstance(result, Success)

    recorded = 0
    cpu_start, start, tasks = time.process_time(), now(), []
    next_at = start
    while next_at < start + seconds:
        await asyncio.sleep(max(0.0, next_at - now()))
        next_at += rng.expovariate(rate)
        tasks.append(asyncio.create_task(claim_one(len(tasks))))
    await asyncio.gather(*tasks)
    cpu_s = time.process_time() - cpu_start
    await asyncio.gather(*(keeper.stop() for keeper in keepers))
    times_s.sort()
    won = len(times_s)
    return Row(
        way="batched" if batched else "one append per claim",
        offered_per_s=round(len(tasks) / seconds, 1),
        won_per_s=round(won / seconds, 1),
        unrecorded_share=round(1 - recorded / won, 3),
        refused_share=round(1 - won / len(tasks), 3),
        appends_per_s=round(log.appends / seconds, 1),
        p50_ms=round(1000 * times_s[won // 2], 1),
        p95_ms=round(1000 * times_s[won * 95 // 100], 1),
        cpu_us_per_claim=round(1e6 * cpu_s / len(tasks), 1),
    )


def main() -> None:
    """Prints one JSON line for each way and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    for rate in (10, 100, 230, 460):
        for batched in (False, True):
            row = asyncio.run(measure(batched, rate, arguments.seconds, arguments.seed))
            print(json.dumps(attrs.asdict(row)), flush=True)


if __name__ == "__main__":
    main()
