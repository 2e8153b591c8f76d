"""Variants of membership, each with one mechanism disabled.

Tests run them to show which failure the mechanism prevents.
"""

from __future__ import annotations

import attrs

from cicadacourse.application import Application
from cicadacourse.membership import Membership, MemberState


def without_suspicion(app: Application) -> Membership:
    """Declares a member dead at the first missed probe."""
    membership = Membership(app)

    def declare_dead(probed):
        membership.receive(attrs.evolve(probed, state=MemberState.DEAD))

    membership._prober._suspect = declare_dead
    return membership


def without_incarnations(app: Application) -> Membership:
    """Never raises its incarnation, so that it can't refute a suspicion."""
    membership = Membership(app)
    membership._records._receive_own = lambda received: None
    return membership


def without_pause_detection(app: Application) -> Membership:
    """Continues after a pause as if there had been none."""
    membership = Membership(app)
    membership._pauses.detect = lambda: None
    return membership


def without_indirect_probes(app: Application) -> Membership:
    """Suspects a member when only its own probe fails."""
    membership = Membership(app)

    async def never_reached(member):
        return False

    membership._prober._probe_indirectly = never_reached
    return membership


def without_syncs_with_dead_members(app: Application) -> Membership:
    """Never syncs again with a member that it knows as dead."""
    membership = Membership(app)
    syncer = membership._syncer
    contacts_not_live = syncer._contacts_not_live

    def unknown_contacts():
        return [
            item for item in contacts_not_live() if membership.find(item.name) is None
        ]

    syncer._contacts_not_live = unknown_contacts
    syncer._partner_candidates = syncer._live_contacts
    return membership


def without_replacement_detection(app: Application) -> Membership:
    """Refutes every record, even that of a process that replaced it."""
    membership = Membership(app)
    receive_own = membership._records._receive_own

    def refute_all(received):
        own_address = membership.self_member().peer_address
        receive_own(attrs.evolve(received, peer_address=own_address))

    membership._records._receive_own = refute_all
    return membership


def trusting_the_contacts(app: Application) -> Membership:
    """Takes the listed contacts, and only these, for live members."""
    membership = Membership(app)
    syncer = membership._syncer
    fetch_contacts = syncer._fetch_contacts

    async def fetch_and_trust():
        await fetch_contacts()
        listed = {contact.name: contact for contact in syncer._known_contacts}
        for entry in membership.view.entries():
            if entry.member.name not in listed:
                membership.view.forget(entry.member.name)
            elif entry.member.state is MemberState.DEAD:
                membership.view.forget(entry.member.name)
                alive = attrs.evolve(entry.member, state=MemberState.ALIVE)
                membership.receive(alive)

    syncer._fetch_contacts = fetch_and_trust
    return membership


def gossiping_everything(app: Application) -> Membership:
    """Sends all live members in every message."""
    membership = Membership(app)
    membership._records.deltas_for = lambda name: tuple(membership.view.live())
    return membership
