"""Tests of records, deltas and the callers' list."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.membership import Member, MemberState, choose_for_callers
from cicadacourse.membership._deltas import DeltaQueue
from cicadacourse.membership._view import MembershipView, bucket_hashes

BADNESS = ["alive", "leaving", "suspect", "dead"]

members = st.builds(
    Member,
    name=st.sampled_from(["e1", "e2", "e3"]),
    peer_address=st.just("1.2.3.4:5"),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    configuration_version=st.integers(0, 2),
)
many = st.lists(
    st.builds(
        Member,
        name=st.integers(0, 40).map("e{}".format),
        peer_address=st.just("1.2.3.4:5"),
        caller_address=st.sampled_from(["1.2.3.4:6", ""]),
        failure_domain=st.sampled_from("abc"),
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
    view = MembershipView()
    for member in heard:
        view.merge(member, 0.0)
    for name in ("e1", "e2", "e3"):
        known = view.find(name)
        word = known and (known.incarnation, BADNESS.index(known.state.value))
        assert word == newest(heard, name)


@given(st.lists(members))
def test_hashes_differ_where_views_do(heard):
    view = MembershipView()
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


@given(many, st.integers(0, 8), st.sampled_from(["a", "b", "c", ""]))
def test_callers_get_near_members_unless_there_are_too_few(known, count, domain):
    named = choose_for_callers(known, domain, count, random.Random(1))
    reachable = [item for item in known if item.caller_address]
    near = [item for item in reachable if item.failure_domain == domain]
    expected = near if len(near) >= 2 else reachable
    assert len(named) == min(count, len(expected))
    assert len({item.name for item in named}) == len(named)
    assert all(item in expected for item in named)


def test_callers_get_other_members_each_time():
    known = [Member(f"e{index}", "1.2.3.4:5", "1.2.3.4:6") for index in range(40)]
    chooser = random.Random(1)
    named = [choose_for_callers(known, "a", 3, chooser) for _ in range(100)]
    assert {item.name for answer in named for item in answer} > {
        item.name for item in known[:30]
    }
