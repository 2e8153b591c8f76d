"""Sends a load through one policy and notes what became of each request."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Sequence

import attrs
import looptime
from returns.result import Failure

from bench.load._arrivals import Arrival
from bench.load._fleet import POOL, Fleet
from bench.load._results import Fate, RequestResult
from cicadacourse.application import Application
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.routing import PREFIX_BLOCKS, Grant, Outcome, Parts, Work, classify
from cicadacourse.util.clock import now
from cicadacourse.util.hashing import prefix_hashes
from cicadacourse.util.tokens import count_tokens
from standins.engine import EngineCore, expected_text

MAX_ATTEMPTS = 10
BACK_OFF_S = 0.5
EJECTED_S = 5.0
DOWN_S = 8.0


@attrs.frozen(kw_only=True)
class Scenario:
    """One run: a policy, its parts and the faults.

    :param deaths: engines that die during the load, one after the other.
    :param report_lag_s: how late the engines' load reports are.
    """

    name: str
    policy: str = "default"
    parts: Parts = Parts()
    deaths: int = 0
    report_lag_s: float = 1.0


def run_scenario(
    scenario: Scenario, arrivals: Sequence[Arrival], seconds: float, seed: int
) -> list[RequestResult]:
    """Runs a scenario to its end on a paused clock."""
    loop = looptime.new_event_loop(noop_cycles=0)
    try:
        return loop.run_until_complete(_run(scenario, arrivals, seconds, seed))
    finally:
        loop.close()


async def _run(
    scenario: Scenario, arrivals: Sequence[Arrival], seconds: float, seed: int
) -> list[RequestResult]:
    fleet = Fleet(scenario.policy, scenario.parts, seed=seed)
    for engine in fleet.engines:
        engine.faults.report_lag_s = scenario.report_lag_s
    async with fleet.running():
        deaths = asyncio.create_task(_kill(fleet, scenario.deaths, seconds, seed))
        rng = random.Random(seed)
        apps = [rng.choice(fleet.apps) for _ in arrivals]
        tasks = [
            asyncio.create_task(_send(app, arrival))
            for app, arrival in zip(apps, arrivals)
        ]
        results = await asyncio.gather(*tasks)
        deaths.cancel()
    return results


async def _kill(fleet: Fleet, count: int, seconds: float, seed: int) -> None:
    """Kills engines at even distances; each comes back empty after a while."""
    rng = random.Random(seed)
    for engine in rng.sample(fleet.engines, count):
        await asyncio.sleep(seconds / (count + 1))
        engine.crash()
        asyncio.get_running_loop().call_later(DOWN_S, _restart, engine)


def _restart(engine: EngineCore) -> None:
    engine.restart()


async def _send(app: Application, arrival: Arrival) -> RequestResult:
    """Sends one request the way an instance's request path does."""
    pool = app.get("tables").current().pools_by_name[POOL]
    work = Work(
        request_id=arrival.name,
        attempt=0,
        organisation=arrival.organisation,
        pool=POOL,
        prompt_tokens=arrival.prompt_tokens,
        max_output_tokens=arrival.output_tokens,
    )
    result = RequestResult(
        name=arrival.name,
        organisation=arrival.organisation,
        prompt_class=classify(work, pool),
    )
    await asyncio.sleep(arrival.at_s)
    request = _Request(app, arrival, work, result)
    try:
        async with asyncio.timeout(arrival.time_limit_s):
            await request.run()
    except TimeoutError:
        result.fate = Fate.LATE
    result.total_s = now() - request.started_at
    return result


class _Request:
    """One request under way."""

    def __init__(
        self, app: Application, arrival: Arrival, work: Work, result: RequestResult
    ) -> None:
        self.app = app
        self.arrival = arrival
        self.result = result
        self.started_at = now()
        self.deadline = self.started_at + arrival.time_limit_s
        self.prompt = arrival.prompt()
        prefix = prefix_hashes(self.prompt.encode(), PREFIX_BLOCKS)
        self.work = attrs.evolve(work, prefix=tuple(prefix))
        self.emitted = ""
        self._last_token_at = self.started_at
        self._excluded: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Makes attempts until one is complete or none may follow."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self.result.attempts = attempt
            emitted_tokens = count_tokens(self.emitted)
            work = attrs.evolve(
                self.work,
                attempt=attempt,
                prompt_tokens=self.work.prompt_tokens + emitted_tokens,
                max_output_tokens=self.work.max_output_tokens - emitted_tokens,
            )
            routing = self.app.get("routing")
            acquired = await routing.acquire(work, self.deadline, self._excluded)
            if isinstance(acquired, Failure):
                self._refuse(acquired.failure())
                return
            grant = acquired.unwrap()
            self.result.endpoint = grant.endpoint.name
            error = await self._attempt(grant, work)
            if error is None:
                return
            if not self._may_go_on(grant, error):
                return
            await asyncio.sleep(error.retry_after_s or BACK_OFF_S)
        self.result.fate = Fate.LATE

    def _refuse(self, error: Error) -> None:
        is_truthful = not self.emitted
        self.result.fate = Fate.REFUSED if is_truthful else Fate.LATE
        self.result.reason = error.label

    def _may_go_on(self, grant: Grant, error: Error) -> bool:
        if error.label == "status_413":
            self._refuse(error)
            return False
        self._excluded = frozenset({grant.endpoint.name})
        if error.kind is ErrorKind.ENDPOINT_UNREACHABLE:
            self._eject(grant.endpoint.name)
        return True

    def _eject(self, name: str) -> None:
        directory: Any = self.app.get("directory")
        directory.ejected.add(name)
        loop = asyncio.get_running_loop()
        loop.call_later(EJECTED_S, directory.ejected.discard, name)

    async def _attempt(self, grant: Grant, work: Work) -> Error | None:
        """Runs one attempt; returns why it did not end well, or None."""
        routing = self.app.get("routing")
        outcome = Outcome.ABANDONED
        try:
            prepared = await routing.prepare(grant, self.prompt)
            if isinstance(prepared, Failure):
                outcome = Outcome.FAILED
                return prepared.failure()
            error = await self._read(grant, work)
            outcome = Outcome.COMPLETE if error is None else Outcome.FAILED
            return error
        finally:
            routing.release(grant, outcome)

    async def _read(self, grant: Grant, work: Work) -> Error | None:
        client = self.app.get("endpoint_client")
        left_s = self.deadline - now()
        try:
            async with client.generate(
                grant.endpoint, grant, work, self.prompt, self.emitted, left_s
            ) as lines:
                async for line in lines:
                    if line.end:
                        self._complete()
                        return None
                    self._take(line.text)
        except CicadacourseError as error:
            return error.error
        return Error(ErrorKind.STREAM_LOST, "the stream ended early")

    def _take(self, text: str) -> None:
        time = now()
        if self.result.first_token_s is None:
            self.result.first_token_s = time - self.started_at
        else:
            tokens = max(1, count_tokens(text))
            self.result.gaps_s.append((time - self._last_token_at) / tokens)
        self._last_token_at = time
        self.emitted += text

    def _complete(self) -> None:
        whole = expected_text(self.prompt, self.arrival.output_tokens)
        is_own = self.emitted == whole
        self.result.fate = Fate.COMPLETE if is_own else Fate.WRONG
