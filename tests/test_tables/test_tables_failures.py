"""Tests of tables in force under failures, on a paused clock."""

from __future__ import annotations

import asyncio
import contextlib
import random
import uuid

import attrs
import pytest
from returns.result import Success

from cicadacourse.errors import ErrorKind
from cicadacourse.membership import Membership
from cicadacourse.tables import (
    STREAM,
    Edit,
    Fold,
    Tables,
    TablesFollower,
    TablesSettings,
    publish_edit,
    read_to_end,
)
from cicadacourse.tables._records import encode
from cicadacourse.tables._restater import DUE_SHARE
from cicadacourse.util.clock import now
from standins.log import LogCore
from standins.log_service import instance_log
from standins.memory_cluster import memory_cluster
from tests.test_tables.test_tables_fold import make_edit

pytestmark = pytest.mark.looptime

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
RETENTION_S = 20.0
RETENTIONS = 8
IN_FORCE_S = 5.0


class WithoutExchange(TablesFollower):
    """A naive follower: nothing passes between peers."""

    async def _exchange_once(self):
        await asyncio.sleep(3600)

    async def on_announcement(self, announcement):
        await asyncio.sleep(3600)


class WithoutRestating(WithoutExchange):
    """A naive follower: records just expire."""

    async def _read_once(self):
        self._restater.observe = lambda snapshot, batch: None
        await super()._read_once()


class WithoutLog(TablesFollower):
    """A naive follower: one instance reads the log, the others ask their peers."""

    async def _read_once(self):
        if self._exchange._address.endswith(".1:7000"):
            return await super()._read_once()
        await asyncio.sleep(3600)


@contextlib.asynccontextmanager
async def fleet(follower=TablesFollower, names=NAMES, **core_options):
    core = LogCore(**core_options)
    settings = TablesSettings(log_retention_s=core.retention_s)
    specs = [Membership, instance_log(core), follower]
    async with memory_cluster(names, specs, settings) as cluster:
        await asyncio.sleep(3)
        yield cluster, core


def publish(core, edit, time_limit_s=60):
    return publish_edit(core, edit, now() + time_limit_s)


def get_versions(cluster):
    return [tables.current().version for tables in cluster.services("tables")]


async def check_in_force(cluster, version):
    await asyncio.sleep(IN_FORCE_S)
    assert get_versions(cluster) == [version] * len(cluster.app_by_name)


async def check_one_winner(publish_one):
    async with fleet() as (cluster, core):
        edits = [make_edit(f"edit-{index}", 0) for index in range(4)]
        results = await asyncio.gather(*(publish_one(core, edit) for edit in edits))
        published = [result.unwrap() for result in results]
        winners = [one for one in published if one.accepted]
        assert len(winners) == 1
        assert {one.version for one in published} == {winners[0].version}
        await check_in_force(cluster, winners[0].version)


async def publish_over(core, edit):
    return await publish(core, attrs.evolve(edit, base_version=None))


async def test_of_racing_operators_one_wins_and_the_others_learn_who():
    await check_one_winner(publish)


async def test_naive_publishing_over_whatever_is_in_force_has_several_winners():
    async def read_and_publish_over(core, edit):
        await asyncio.sleep(random.Random(edit.edit_id).random())
        return await publish_over(core, edit)

    with pytest.raises(AssertionError):
        await check_one_winner(read_and_publish_over)


async def check_lost_answer(publish_one):
    async with fleet() as (cluster, core):
        core.faults.lose_answer = 1.0
        published = (await publish_one(core, make_edit("mine", 0))).unwrap()
        assert published.accepted
        await check_in_force(cluster, published.version)
        fold = (await read_to_end(core, Fold(), now() + 5)).unwrap()
        assert len(fold.snapshot.recent_edits) == 1


async def publish_anew(core, edit):
    result = await core.append(STREAM, [encode(edit)], 5)
    while result.value_or(None) is None:
        edit = attrs.evolve(edit, edit_id=uuid.UUID(int=1).hex)
        return await publish(core, edit)


async def test_a_lost_answer_is_settled_by_the_edit_id():
    await check_lost_answer(publish)


async def test_naively_publishing_a_new_edit_after_a_lost_answer_is_a_conflict():
    with pytest.raises(AssertionError):
        await check_lost_answer(publish_anew)


async def test_an_append_that_took_no_effect_is_repeated():
    async with fleet() as (cluster, core):
        core.faults.lose_append = 0.7
        published = (await publish(core, make_edit("mine", 0))).unwrap()
        assert published.accepted
        await check_in_force(cluster, published.version)


async def check_outlives_retention(follower):
    names = NAMES[:3]
    async with fleet(follower, names, retention_s=RETENTION_S) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await publish(core, make_edit("two", 1))
        await asyncio.sleep(RETENTIONS * RETENTION_S)
        for name in names:
            await cluster.stop(name)
        app = await cluster.start("e1")
        await asyncio.sleep(IN_FORCE_S)
        tables = app.get("tables").current()
        assert (tables.edit_id, tables.version) == ("two", 2)
        assert app.get("tables").ready()
        assert core.appends <= 2 * RETENTIONS / DUE_SHARE


async def test_tables_outlive_their_record_for_a_newcomer_with_only_the_log():
    await check_outlives_retention(TablesFollower)


async def test_naively_letting_records_expire_loses_the_tables():
    with pytest.raises(AssertionError):
        await check_outlives_retention(WithoutRestating)


async def test_an_outage_longer_than_retention_changes_nothing():
    async with fleet(retention_s=RETENTION_S) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await check_in_force(cluster, 1)
        core.faults.outage = True
        await asyncio.sleep(4 * RETENTION_S)
        core.faults.outage = False
        await check_in_force(cluster, 1)
        published = (await publish(core, make_edit("two", 1))).unwrap()
        assert published.accepted
        await check_in_force(cluster, published.version)


async def test_a_late_copy_of_an_expired_edit_never_wins_for_a_newcomer():
    async with fleet(retention_s=RETENTION_S) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await publish(core, make_edit("two", 1))
        await asyncio.sleep(5 * RETENTION_S)
        late = [encode(make_edit("one", 0)), encode(make_edit("two", 1))]
        await core.append(STREAM, late, 5)
        await cluster.start("e7")
        await check_in_force(cluster, 2)


async def check_start_in_outage(follower):
    async with fleet(follower) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await check_in_force(cluster, 1)
        core.faults.outage = True
        await cluster.start("e7")
        await asyncio.sleep(10)
        assert cluster.get("e7", "tables").ready()
        await check_in_force(cluster, 1)


async def test_a_newcomer_in_an_outage_takes_tables_from_peers():
    await check_start_in_outage(TablesFollower)


async def test_naively_without_peers_a_newcomer_in_an_outage_has_no_tables():
    with pytest.raises(AssertionError):
        await check_start_in_outage(WithoutExchange)


async def test_a_newcomer_with_neither_log_nor_peers_is_not_ready():
    core = LogCore()
    core.faults.outage = True
    specs = [Membership, instance_log(core), TablesFollower]
    async with memory_cluster(["e1"], specs) as cluster:
        await asyncio.sleep(60)
        assert not cluster.get("e1", "tables").ready()


async def test_when_every_record_expired_unseen_peers_and_any_base_help():
    async with fleet(retention_s=RETENTION_S) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await check_in_force(cluster, 1)
        for name in NAMES:
            cluster.get(name, "log").cut = True
        await publish(core, make_edit("unseen", 1))
        await asyncio.sleep(2 * RETENTION_S)
        for name in NAMES:
            cluster.get(name, "log").cut = False
        await cluster.start("e7")
        await check_in_force(cluster, 1)
        assert cluster.get("e7", "tables").ready()
        unresolved = cluster.app_by_name["e7"].metrics.value("tables_unresolved")
        assert unresolved == 1
        refused = await publish(core, make_edit("two", 1))
        assert refused.failure().kind is ErrorKind.NOT_READY
        published = (await publish(core, make_edit("two", None))).unwrap()
        await check_in_force(cluster, published.version)


async def check_cut_from_log(follower):
    async with fleet(follower) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await check_in_force(cluster, 1)
        for name in NAMES[:3]:
            cluster.get(name, "log").cut = True
        await publish(core, make_edit("two", 1))
        await check_in_force(cluster, 2)


async def test_an_instance_cut_from_the_log_has_tables_from_peers_in_time():
    await check_cut_from_log(TablesFollower)


async def test_naively_without_peers_an_instance_cut_from_the_log_is_late():
    with pytest.raises(AssertionError):
        await check_cut_from_log(WithoutExchange)


async def check_cut_from_peers(follower):
    async with fleet(follower) as (cluster, core):
        await publish(core, make_edit("one", 0))
        await check_in_force(cluster, 1)
        cluster.network.cut(cluster.addresses(["e2"]), cluster.addresses(NAMES))
        await publish(core, make_edit("two", 1))
        await check_in_force(cluster, 2)


async def test_an_instance_cut_from_its_peers_has_tables_from_the_log_in_time():
    await check_cut_from_peers(TablesFollower)


async def test_naively_with_one_reader_an_instance_cut_from_peers_is_late():
    with pytest.raises(AssertionError):
        await check_cut_from_peers(WithoutLog)


async def check_faulty_records():
    async with fleet() as (cluster, core):
        await publish(core, make_edit("one", 0))
        faulty = Edit(edit_id="bad", base_version=1, routes="[rout x]", pools="")
        await core.append(STREAM, [b"?", b'{"v": 7}', encode(faulty)], 5)
        published = (await publish(core, make_edit("two", 1))).unwrap()
        assert published.accepted
        await check_in_force(cluster, published.version)
        count = cluster.app_by_name["e1"].metrics.value
        assert count("tables_records_total", outcome="invalid") == 1
        assert count("tables_records_total", outcome="newer_version") == 1


async def test_faulty_records_disturb_nobody():
    await check_faulty_records()


async def test_naively_without_checks_in_the_fold_faulty_tables_come_in_force(
    monkeypatch,
):
    naive = "cicadacourse.tables._state.parse_tables"
    monkeypatch.setattr(naive, lambda routes, pools: Success(Tables()))
    with pytest.raises(AssertionError):
        await check_faulty_records()


async def disturb(cluster, core, rng):
    """Cuts, outages, freezes of links and restarts, one after the other."""
    name = rng.choice(NAMES)
    log = cluster.get(name, "log")
    match rng.randrange(4):
        case 0:
            log.cut = not log.cut
        case 1:
            core.faults.outage = not core.faults.outage
        case 2:
            change = rng.choice([cluster.network.cut, cluster.network.heal])
            change(cluster.addresses([name]), cluster.addresses(NAMES))
        case 3:
            await cluster.kill(name)
            await cluster.start(name)


async def watch(cluster, stepped_back):
    """Notes each running follower that steps back."""
    newest_by_follower = {}
    while True:
        for tables in cluster.services("tables"):
            version = tables.current().version
            if version < newest_by_follower.get(tables, 0):
                stepped_back.append(tables)
            newest_by_follower[tables] = version
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("seed", range(4))
async def test_under_random_failures_no_instance_steps_back_and_all_agree(seed):
    rng = random.Random(seed)
    async with fleet(retention_s=RETENTION_S, seed=seed) as (cluster, core):
        core.faults.lose_answer = core.faults.lose_append = 0.2
        stepped_back = []
        watcher = asyncio.create_task(watch(cluster, stepped_back))
        accepted = [(await publish(core, make_edit("start", 0))).unwrap()]
        for step in range(20):
            await disturb(cluster, core, rng)
            edit = make_edit(f"edit-{step}", accepted[-1].version)
            result = await publish(core, edit, time_limit_s=3)
            published = result.value_or(accepted[-1])
            if published.version > accepted[-1].version:
                accepted.append(published)
            await asyncio.sleep(rng.uniform(0, 3))
        core.faults.outage = False
        cluster.network.heal(cluster.addresses(NAMES), cluster.addresses(NAMES))
        for name in NAMES:
            cluster.get(name, "log").cut = False
        await asyncio.sleep(30)
        watcher.cancel()
        fold = (await read_to_end(core, Fold(), now() + 5)).unwrap()
        assert not stepped_back
        assert fold.snapshot.version >= accepted[-1].version
        await check_in_force(cluster, fold.snapshot.version)
