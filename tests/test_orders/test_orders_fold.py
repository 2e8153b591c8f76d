"""Differential tests of the lease fold and of the records' JSON form."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from cicadacourse.orders._fold import LeaseFold
from cicadacourse.orders._records import HeldLease, LeaseRecord, Release, decode, encode

LEASE_MS = 10
HOLDERS = ["a", "b", "c"]
NAMES = ["x", "y"]

releases = st.builds(Release, st.sampled_from(NAMES), st.integers(0, 12), st.booleans())
records = st.builds(
    LeaseRecord,
    holder=st.sampled_from(HOLDERS),
    sequence=st.integers(0, 5),
    tables_version=st.integers(0, 3),
    claims=st.lists(st.sampled_from(NAMES), max_size=2).map(tuple),
    releases=st.lists(releases, max_size=2).map(tuple),
)
gaps_ms = st.integers(-2, 7)
streams = st.lists(st.tuples(gaps_ms, records), max_size=14)


def with_times(stream):
    """Returns (offset, time, record) with the log's clock running on."""
    timed = []
    time_ms = 100
    for offset, (gap_ms, record) in enumerate(stream):
        time_ms += gap_ms
        timed.append((offset, time_ms, record))
    return timed


def apply_all(fold, timed):
    for offset, time_ms, record in timed:
        fold.apply(offset, time_ms, record)
    return fold


def naive_holder(timed, name):
    """Replays the whole stream for one name; returns (holder, token, end)."""
    holder = token = None
    end_ms = latest_ms = 0
    for offset, time_ms, record in timed:
        latest_ms = max(latest_ms, time_ms)
        if record.holder == holder and latest_ms < end_ms:
            released = any(r.name == name and r.token == token for r in record.releases)
            end_ms = latest_ms if released else latest_ms + LEASE_MS
        if name in record.claims and latest_ms >= end_ms:
            holder, token, end_ms = record.holder, offset, latest_ms + LEASE_MS
    return (holder, token, end_ms) if latest_ms < end_ms else None


def live(fold, name):
    lease = fold.leases_by_name.get(name)
    if lease is None or fold.holder(name, fold.time_ms) is None:
        return None
    return (lease.holder, lease.token, lease.expires_ms)


@given(streams)
def test_the_fold_agrees_with_a_naive_replay(stream):
    timed = with_times(stream)
    fold = apply_all(LeaseFold(LEASE_MS), timed)
    for name in NAMES:
        assert live(fold, name) == naive_holder(timed, name)


@given(streams, st.integers(0, 14))
def test_a_snapshot_with_the_records_behind_it_gives_the_same_leases(stream, cut):
    timed = with_times(stream)
    whole = apply_all(LeaseFold(LEASE_MS), timed)
    before = apply_all(LeaseFold(LEASE_MS), timed[:cut])
    snapshot = decode(encode(before.snapshot(cut))).unwrap()
    joined = apply_all(LeaseFold.from_snapshot(LEASE_MS, snapshot), timed[cut:])
    for name in NAMES:
        assert live(joined, name) == live(whole, name)


@given(streams)
def test_a_token_grows_with_each_grant_and_never_serves_two_holders(stream):
    fold = LeaseFold(LEASE_MS)
    token_by_name = {}
    holder_by_grant = {}
    for offset, time_ms, record in with_times(stream):
        for held in fold.apply(offset, time_ms, record).granted:
            assert held.token > token_by_name.get(held.name, -1)
            token_by_name[held.name] = held.token
        assert all(
            fold.held(holder)
            == [
                HeldLease(name, fold.leases_by_name[name].token)
                for name in NAMES
                if fold.holder(name, fold.time_ms) == holder
            ]
            for holder in HOLDERS
        )
        for name, lease in fold.leases_by_name.items():
            grant = (name, lease.token)
            assert holder_by_grant.setdefault(grant, lease.holder) == lease.holder


@given(records)
def test_a_record_survives_its_json_form(record):
    assert decode(encode(record)).unwrap() == record


@given(st.binary(max_size=30))
def test_other_bytes_are_no_record(body):
    assert isinstance(decode(body), Failure)


def test_a_later_renewal_revives_nothing():
    claim = LeaseRecord(holder="a", sequence=1, claims=("x",))
    renewal = attrs.evolve(claim, claims=())
    fold = apply_all(LeaseFold(LEASE_MS), [(0, 0, claim), (1, LEASE_MS, renewal)])
    assert live(fold, "x") is None
