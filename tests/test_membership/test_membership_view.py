"""Tests of records, deltas and the callers' list."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.membership import Member, MemberState, addresses_for_callers
from cicadacourse.membership._deltas import DeltaQueue
from cicadacourse.membership._view import View, bucket_hashes

BADNESS = ["alive", "leaving", "suspect", "dead"]

members = st.builds(
    Member,
    name=st.sampled_from(["e1", "e2", "e3"]),
    peer_address=st.just("1.2.3.4:5"),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    tables_version=st.integers(0, 2),
)
many = st.lists(
    st.builds(
        Member,
        name=st.integers(0, 40).map("e{}".format),
        peer_address=st.just("1.2.3.4:5"),
        failure_domain=st.sampled_from("abc"),
        state=st.sampled_from(MemberState),
    ),
    unique_by=lambda member: member.name,
)


def newest(heard, name):
    """Returns the last word on a member: a naive replay of everything heard."""
    records = [member for member in heard if member.name == name]
    return max(
        ((item.incarnation, BADNESS.index(item.state.value)) for item in records),
        default=None,
    )


@given(st.lists(members), st.randoms(use_true_random=False))
def test_a_view_holds_the_newest_record_in_whatever_order_it_hears(heard, chooser):
    heard = [*heard, *heard]
    chooser.shuffle(heard)
    view = View()
    for member in heard:
        view.merge(member, 0.0)
    for name in ("e1", "e2", "e3"):
        known = view.find(name)
        word = known and (known.incarnation, BADNESS.index(known.state.value))
        assert word == newest(heard, name)


@given(st.lists(members))
def test_hashes_differ_where_views_do(heard):
    view = View()
    for member in heard:
        view.merge(member, 0.0)
    known = view.live()
    other = [*known, Member("new", "1.2.3.4:5")]
    assert bucket_hashes(known) == bucket_hashes(reversed(known))
    assert bucket_hashes(known) != bucket_hashes(other)


@given(st.lists(members), st.integers(1, 8), st.integers(1, 400))
def test_deltas_are_bounded_per_message_and_each_is_sent_a_while(
    heard, limit, member_count
):
    queue = DeltaQueue()
    for member in heard:
        queue.put(member)
    sent = []
    while queue:
        taken = queue.take(limit, member_count)
        assert 0 < len(taken) <= limit
        sent.extend(taken)
    latest = {member.name: member for member in heard}
    times = {sent.count(member) for member in latest.values()}
    assert len(times) <= 1 and all(4 <= count <= 12 for count in times)
    assert len(sent) == sum(times) * len(latest)


@given(many, st.integers(0, 8), st.integers(0, 5), st.sampled_from(MemberState))
def test_callers_get_only_the_alive_spread_over_failure_domains(
    known, count, seed, own_state
):
    own = Member("self", "1.2.3.4:5", failure_domain="a", state=own_state)
    named = addresses_for_callers(known, own, count, seed)
    alive = [item for item in [*known, own] if item.state is MemberState.ALIVE]
    assert len(named) == min(count, len(alive)) == len({item.name for item in named})
    assert all(item in alive for item in named)
    domains = {item.failure_domain for item in alive}
    assert len({item.failure_domain for item in named}) == min(len(named), len(domains))


def test_callers_with_other_seeds_get_other_addresses():
    known = [Member(f"e{index}", "1.2.3.4:5") for index in range(40)]
    own = Member("self", "1.2.3.4:5")
    chooser = random.Random(1)
    named = [
        addresses_for_callers(known, own, 3, chooser.getrandbits(32))
        for _ in range(100)
    ]
    assert {item.name for answer in named for item in answer} > {
        item.name for item in known[:30]
    }
