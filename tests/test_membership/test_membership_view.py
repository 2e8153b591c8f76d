"""Tests of the view, the delta queue and the choice of members for callers."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from cicadacourse.membership import Member, MemberState, choose_for_callers
from cicadacourse.membership._deltas import DeltaQueue
from cicadacourse.membership._view import MembershipView, bucket_hashes

STATES_BY_RANK = ["alive", "leaving", "suspect", "dead"]

members = st.builds(
    Member,
    name=st.sampled_from(["e1", "e2", "e3"]),
    peer_address=st.just("1.2.3.4:5"),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    configuration_version=st.integers(0, 2),
)
member_lists = st.lists(
    st.builds(
        Member,
        name=st.integers(0, 40).map("e{}".format),
        peer_address=st.just("1.2.3.4:5"),
        caller_address=st.sampled_from(["1.2.3.4:6", ""]),
        failure_domain=st.sampled_from("abc"),
    ),
    unique_by=lambda member: member.name,
)


def newest_rank(received, name):
    """Returns the rank of the newest record of a member, by a naive search."""
    records = [member for member in received if member.name == name]
    return max(
        (
            (item.incarnation, STATES_BY_RANK.index(item.state.value))
            for item in records
        ),
        default=None,
    )


@given(st.lists(members), st.randoms(use_true_random=False))
def test_a_view_holds_the_newest_record_in_any_order_of_arrival(received, chooser):
    received = [*received, *received]
    chooser.shuffle(received)
    view = MembershipView()
    for member in received:
        view.merge(member, 0.0)
    for name in ("e1", "e2", "e3"):
        known = view.find(name)
        known_rank = known and (
            known.incarnation,
            STATES_BY_RANK.index(known.state.value),
        )
        assert known_rank == newest_rank(received, name)


@given(st.lists(members))
def test_hashes_differ_if_the_views_differ(received):
    view = MembershipView()
    for member in received:
        view.merge(member, 0.0)
    known = view.live()
    other = [*known, Member("new", "1.2.3.4:5")]
    assert bucket_hashes(known) == bucket_hashes(reversed(known))
    assert bucket_hashes(known) != bucket_hashes(other)


@given(st.lists(members), st.integers(1, 8), st.integers(1, 400))
def test_deltas_are_bounded_per_message_and_in_sends(received, limit, member_count):
    queue = DeltaQueue()
    for member in received:
        queue.put(member)
    sent = []
    while queue:
        taken = queue.take(limit, member_count)
        assert 0 < len(taken) <= limit
        sent.extend(taken)
    latest = {member.name: member for member in received}
    send_counts = {sent.count(member) for member in latest.values()}
    assert len(send_counts) <= 1 and all(4 <= count <= 12 for count in send_counts)
    assert len(sent) == sum(send_counts) * len(latest)


@given(member_lists, st.integers(0, 8), st.sampled_from(["a", "b", "c", ""]))
def test_callers_get_members_of_their_own_domain_unless_there_are_too_few(
    known, count, domain
):
    chosen = choose_for_callers(known, domain, count, random.Random(1))
    reachable = [item for item in known if item.caller_address]
    same_domain = [item for item in reachable if item.failure_domain == domain]
    expected = same_domain if len(same_domain) >= 2 else reachable
    assert len(chosen) == min(count, len(expected))
    assert len({item.name for item in chosen}) == len(chosen)
    assert all(item in expected for item in chosen)


def test_callers_get_different_members_each_time():
    known = [Member(f"e{index}", "1.2.3.4:5", "1.2.3.4:6") for index in range(40)]
    chooser = random.Random(1)
    chosen = [choose_for_callers(known, "a", 3, chooser) for _ in range(100)]
    assert {item.name for members in chosen for item in members} > {
        item.name for item in known[:30]
    }
