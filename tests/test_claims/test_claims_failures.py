"""Tests of claims under failures, on a paused clock; the count of runs judges."""

from __future__ import annotations

import asyncio
import contextlib
import random
import uuid
from collections import defaultdict

import attrs
import pytest
from returns.result import Failure, Success

from cicadacourse.claims import ClaimKind, ClaimOutcome, Claims, ClaimsSettings, Keeper
from cicadacourse.claims._messages import ClaimRequest
from cicadacourse.claims._model import get_partition, get_stream
from cicadacourse.errors import ErrorKind, Run
from cicadacourse.membership import Membership
from cicadacourse.peers import handles
from cicadacourse.util.clock import now
from standins.log import LogCore
from standins.log_service import instance_log
from standins.memory_cluster import memory_cluster

pytestmark = pytest.mark.looptime

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
LIMIT_S = 20.0


@attrs.define
class Fleet:
    """A cluster whose instances run a call once they have won its key."""

    cluster: object
    core: LogCore
    runs_by_key: dict = attrs.Factory(lambda: defaultdict(list))
    durations_s: list = attrs.Factory(list)

    def make_key(self, name="x"):
        return f"{self.core.time_ms // 1000}-{name}"

    def find_keeper(self, key):
        stream = get_stream(get_partition(key))
        return self.cluster.get("e1", "membership").owner(stream).name

    def get_others(self, key):
        return [name for name in NAMES if name != self.find_keeper(key)]

    async def attempt(self, name, key, request_id):
        claims = self.cluster.get(name, "claims")
        started = now()
        result = await claims.claim(key, request_id, started + LIMIT_S)
        self.durations_s.append(now() - started)
        match result:
            case Success(ClaimOutcome(kind=ClaimKind.WON)):
                self.runs_by_key[key].append(request_id)
            case Failure(error):
                assert (error.run or error.answer.run) is Run.NOT_RUN
        return result

    def check_at_most_once(self):
        twice = [key for key, runs in self.runs_by_key.items() if len(runs) > 1]
        assert not twice, f"ran twice: {twice}"

    def check_in_time(self):
        assert max(self.durations_s) <= LIMIT_S + 0.1


@contextlib.asynccontextmanager
async def fleet(claims=Claims, names=NAMES, **core_options):
    core = LogCore(**core_options)
    async with memory_cluster(
        names, [Membership, instance_log(core), claims], ClaimsSettings()
    ) as cluster:
        await asyncio.sleep(3)
        yield Fleet(cluster, core)


async def test_of_rival_claims_one_wins_and_the_others_learn_its_request():
    async with fleet() as it:
        key = it.make_key()
        results = await asyncio.gather(
            *(it.attempt(name, key, f"r-{name}") for name in NAMES * 2)
        )
        (winner,) = it.runs_by_key[key]
        outcomes = [result.unwrap() for result in results]
        assert {outcome.request_id for outcome in outcomes} == {winner}
        assert sum(outcome.kind is ClaimKind.WON for outcome in outcomes) == 1


async def test_later_attempts_look_the_outcome_up():
    async with fleet() as it:
        key = it.make_key()
        await it.attempt("e1", key, "first")
        claims = it.cluster.get("e1", "claims")
        (await claims.record_outcome(key, "first", 201, b"seat 7")).unwrap()
        outcome = (await it.attempt("e2", key, "second")).unwrap()
        assert outcome == ClaimOutcome(ClaimKind.LOST, "first", 201, b"seat 7")
        refused = await claims.record_outcome(key, "second", 500, b"")
        assert refused.failure().kind is ErrorKind.BAD_REQUEST


async def test_keys_that_are_malformed_too_old_or_in_the_future_never_run():
    async with fleet() as it:
        now_s = it.core.time_ms // 1000
        for key in (f"{now_s - 1900}-x", f"{now_s + 90}-x"):
            outcome = (await it.attempt("e1", key, "r")).unwrap()
            assert outcome.kind is ClaimKind.EXPIRED
        assert isinstance(await it.attempt("e1", "no key", "r"), Failure)
        assert not it.runs_by_key


@pytest.mark.parametrize("step", ["before_append", "after_append", "after_read"])
@pytest.mark.parametrize("fault", ["kill", "freeze"])
async def test_a_keeper_that_fails_at_any_step_costs_no_second_run(step, fault):
    async with fleet() as it:
        key = it.make_key()
        keeper = it.find_keeper(key)
        first, second = it.get_others(key)[:2]
        await it.attempt(first, it.make_key("warm"), "r0")
        hold = it.cluster.get(keeper, "log").hold(step)
        attempt = asyncio.create_task(it.attempt(first, key, "r1"))
        await hold.reached.wait()
        if fault == "kill":
            await it.cluster.kill(keeper)
        else:
            it.cluster.freeze(keeper)
        await attempt
        await it.attempt(second, key, "r2")
        hold.let_go.set()
        it.cluster.thaw(keeper)
        await asyncio.sleep(60)
        await it.attempt(second, key, "r3")
        it.check_at_most_once()
        it.check_in_time()
        assert it.runs_by_key[key] == ["r1"]


async def test_a_winner_that_is_paused_keeps_its_claim():
    async with fleet() as it:
        key = it.make_key()
        await it.attempt("e1", key, "paused")
        await asyncio.sleep(120)
        outcome = (await it.attempt("e2", key, "later")).unwrap()
        assert outcome == ClaimOutcome(ClaimKind.LOST, "paused")


class KeeperThatTakesOver(Keeper):
    """A naive keeper: a claim without an outcome is given away after a while."""

    async def _answer_held(self, held, claim_id, deadline):
        outcome = await super()._answer_held(held, claim_id, deadline)
        if outcome.kind is ClaimKind.LOST and outcome.status is None:
            return ClaimOutcome(ClaimKind.WON)
        return outcome


class KeeperThatTrustsItself(Keeper):
    """A naive keeper: decides by what it knows, and appends for the record."""

    async def _append_and_read(self, body, deadline):
        result = await self._appender.append(body, deadline)
        if isinstance(result, Success):
            batch = await self._log.read(self._stream, result.unwrap(), 1, 0, 5)
            self._fold.feed(batch.unwrap())
        return result


async def check_lost_answers(claim):
    async with fleet() as it:
        it.core.faults.lose_answer = 1.0
        key = it.make_key()
        await claim(it, "e1", key, "r1")
        await claim(it, "e2", key, "r2")
        it.check_at_most_once()
        assert it.runs_by_key[key] == ["r1"]


async def test_a_claim_whose_append_lost_its_answer_is_won_by_its_id():
    await check_lost_answers(Fleet.attempt)


async def test_naively_claiming_anew_after_a_lost_answer_loses_to_oneself():
    async def claim_anew(it, name, key, request_id):
        claims = it.cluster.get(name, "claims")
        for _ in range(3):
            keeper = claims._get_keeper(key)
            deadline = now() + 0.1
            result = await keeper.claim(key, uuid.uuid4().hex, request_id, deadline)
            if isinstance(result, Success):
                break
        if result.value_or(None) and result.unwrap().kind is ClaimKind.WON:
            it.runs_by_key[key].append(request_id)

    with pytest.raises(AssertionError):
        await check_lost_answers(claim_anew)


async def test_an_outage_of_the_log_refuses_truthfully_and_at_once():
    async with fleet() as it:
        it.core.faults.outage = True
        started, key = now(), it.make_key()
        error = (await it.attempt("e1", key, "r1")).failure()
        assert error.kind is ErrorKind.LOG_UNAVAILABLE
        assert now() - started < 1
        it.core.faults.outage = False
        await it.attempt("e2", key, "r2")
        assert it.runs_by_key[key] == ["r2"]


async def test_a_silent_log_refuses_truthfully_in_time():
    async with fleet() as it:
        for name in NAMES:
            it.cluster.get(name, "log").cut = True
        assert isinstance(await it.attempt("e1", it.make_key(), "r1"), Failure)
        it.check_in_time()
        assert not it.runs_by_key


async def test_a_log_that_takes_too_few_appends_refuses_soon_and_truthfully():
    async with fleet(appends_per_s=2) as it:
        keys = [it.make_key(str(index)) for index in range(200)]
        results = await asyncio.gather(*(it.attempt("e1", key, "r") for key in keys))
        errors = [result.failure() for result in results if isinstance(result, Failure)]
        assert errors and it.runs_by_key
        assert {error.label for error in errors} == {"log_rate_limit"}
        assert max(it.durations_s) < 10
        it.check_at_most_once()


class HastyClaims(Claims):
    """A naive asker: takes a keeper that waits for a slow log for a silent one."""

    @handles(ClaimRequest)
    async def on_claim_request(self, request):
        return await super().on_claim_request(attrs.evolve(request, wait_s=60.0))


async def check_slow_log(claims):
    async with fleet(claims) as it:
        it.core.faults.slow_s = 3.0
        key = it.make_key()
        await it.attempt(it.get_others(key)[0], key, "r1")
        assert it.runs_by_key[key] == ["r1"]
        assert it.core.appends == 1


async def test_a_slow_log_makes_nobody_take_its_keeper_for_silent():
    await check_slow_log(Claims)


async def test_naively_taking_a_slow_keeper_for_silent_appends_twice():
    with pytest.raises(AssertionError, match="appends"):
        await check_slow_log(HastyClaims)


async def check_two_keepers(keeper, monkeypatch):
    monkeypatch.setattr("cicadacourse.claims._service.Keeper", keeper)
    async with fleet() as it:
        ones, others = NAMES[:3], NAMES[3:]
        cluster = it.cluster
        cluster.network.cut(cluster.addresses(ones), cluster.addresses(others))
        await asyncio.sleep(60)
        for index in range(30):
            key = it.make_key(str(index))
            await asyncio.gather(
                it.attempt("e1", key, "r1"), it.attempt("e6", key, "r2")
            )
            await it.attempt(f"e{1 + index % 6}", key, "r3")
        it.check_at_most_once()
        assert len(it.runs_by_key) == 30


async def test_two_keepers_at_once_agree(monkeypatch):
    await check_two_keepers(Keeper, monkeypatch)


@pytest.mark.parametrize("keeper", [KeeperThatTrustsItself, KeeperThatTakesOver])
async def test_naive_keepers_let_a_call_run_twice(keeper, monkeypatch):
    with pytest.raises(AssertionError, match="ran twice"):
        await check_two_keepers(keeper, monkeypatch)


async def test_a_new_keeper_reads_what_the_old_one_was_told():
    async with fleet() as it:
        keys = [it.make_key(str(index)) for index in range(20)]
        await asyncio.gather(*(it.attempt("e1", key, "r1") for key in keys))
        for name in NAMES[1:]:
            await it.cluster.stop(name)
        await it.cluster.stop("e1")
        await it.cluster.start("e7")
        await asyncio.gather(*(it.attempt("e7", key, "r2") for key in keys))
        assert all(it.runs_by_key[key] == ["r1"] for key in keys)


async def disturb(it, rng):
    """Changes one fault of the log, the network or an instance."""
    cluster, name = it.cluster, rng.choice(NAMES)
    match rng.randrange(5):
        case 0:
            it.core.faults.outage = not it.core.faults.outage
        case 1:
            log = cluster.get(name, "log")
            log.cut = not log.cut
        case 2:
            change = rng.choice([cluster.network.cut, cluster.network.heal])
            change(cluster.addresses([name]), cluster.addresses(NAMES))
        case 3:
            rng.choice([cluster.freeze, cluster.thaw])(name)
        case 4:
            cluster.thaw(name)
            await cluster.kill(name)
            await cluster.start(name)


@pytest.mark.parametrize("seed", range(4))
async def test_under_random_failures_no_key_runs_twice(seed):
    await check_random_failures(seed)


async def test_under_random_failures_a_naive_keeper_lets_a_key_run_twice(monkeypatch):
    monkeypatch.setattr("cicadacourse.claims._service.Keeper", KeeperThatTakesOver)
    with pytest.raises(AssertionError, match="ran twice"):
        await check_random_failures(seed=1)


async def check_random_failures(seed):
    rng = random.Random(seed)
    async with fleet(seed=seed) as it:
        it.core.faults.lose_answer = it.core.faults.lose_append = 0.2
        tasks = []
        for step in range(60):
            if step % 3 == 0:
                await disturb(it, rng)
            key = it.make_key(str(rng.randint(0, 2)))
            for name in rng.sample(NAMES, 2):
                attempt = it.attempt(name, key, f"r{step}-{name}")
                tasks.append(asyncio.create_task(attempt))
            await asyncio.sleep(rng.choice([0, 0.01, 0.2, 2]))
        for name in NAMES:
            it.cluster.thaw(name)
        await asyncio.gather(*tasks)
        it.check_at_most_once()
        assert len(it.runs_by_key) > 5
