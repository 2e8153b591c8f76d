"""Compares what two members know, and reads further contacts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cicadacourse.membership._contacts import Contact
from cicadacourse.membership._messages import SyncDigest, SyncHashes, SyncMembers
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._spread import spread
from cicadacourse.membership._view import bucket_hashes, bucket_of, digest
from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.membership._service import Membership

# All others of a small fleet, so that instances that start together know each other.
_REFRESH_PARTNERS = 8
_DEAD_PARTNER_SHARE = 0.125
_FAR_PARTNER_SHARE = 0.5


class Syncer:
    """The anti-entropy of one instance."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._settings = membership.settings
        self._listed: list[Contact] = []

    async def run(self) -> None:
        """Compares with one partner per period and reads the contacts now and then."""
        next_reading = now()
        while True:
            jitter = 0.75 + 0.5 * self._membership.random.random()
            await self._membership.sleep(self._settings.sync_period_s * jitter)
            self._membership.notice_pause()
            if now() >= next_reading:
                next_reading = now() + self._settings.contacts_period_s
                await self._read_contacts()
                await self._sync_with_some(self._strangers())
            await self._sync_with_some(self._partners())

    async def refresh(self) -> None:
        """Hears from another member what has changed before a start or in a pause."""
        while self._membership.refreshing:
            await self._read_contacts()
            contacts = [*self._live_contacts(), *self._strangers()]
            if not contacts:
                self._membership.finish_refresh(has_synced=False)
            elif await self._sync_with_any(contacts):
                self._membership.finish_refresh(has_synced=True)
            else:
                await self._membership.sleep(self._settings.probe_period_s)

    def answer_digest(self, request: SyncDigest) -> SyncHashes:
        """Answers with this side's hashes, or with none if both know the same."""
        hashes = bucket_hashes(self._membership.members())
        return SyncHashes(
            sender=self._membership.self_member(),
            hashes=() if digest(hashes) == request.digest else hashes,
            deltas=self._membership.deltas_for(request.sender.name),
        )

    def members_of(self, buckets: tuple[int, ...]) -> SyncMembers:
        """Returns all that this side knows in some buckets, the dead included."""
        known = [entry.member for entry in self._membership.view.entries()]
        chosen = set(buckets)
        return SyncMembers(
            sender=self._membership.self_member(),
            buckets=buckets,
            members=tuple(item for item in known if bucket_of(item.name) in chosen),
        )

    async def sync(self, contact: Contact) -> bool:
        """Compares with one contact and returns whether it answered."""
        hashes = bucket_hashes(self._membership.members())
        request = SyncDigest(
            sender=self._membership.self_member(),
            digest=digest(hashes),
            deltas=self._membership.deltas_for(contact.name),
        )
        match await self._call(contact, request):
            case Success(SyncHashes() as reply):
                self._membership.hear(reply.sender, *reply.deltas)
            case _:
                return False
        pairs = enumerate(zip(hashes, reply.hashes))
        buckets = tuple(index for index, (ours, theirs) in pairs if ours != theirs)
        if not buckets:
            return True
        match await self._call(contact, self.members_of(buckets)):
            case Success(SyncMembers(sender=sender, members=members)):
                self._membership.hear(sender, *members)
                return True
        return False

    async def _call(self, contact: Contact, request: object) -> object:
        timeout_s = self._settings.sync_timeout_s
        return await self._membership.call(contact.address, request, timeout_s)

    async def _sync_with_some(self, contacts: list[Contact]) -> None:
        if contacts:
            await self.sync(self._membership.random.choice(contacts))

    async def _sync_with_any(self, contacts: list[Contact]) -> bool:
        """Compares with a few contacts at once; true as soon as one has answered."""
        count = min(_REFRESH_PARTNERS, len(contacts))
        chosen = self._membership.random.sample(contacts, count)
        start = self._membership.start_task
        answers = [start(self.sync(contact)) for contact in chosen]
        for answer in asyncio.as_completed(answers):
            if await answer:
                return True
        return False

    def _partners(self) -> list[Contact]:
        """Returns whom to compare with: at times the far, at times the dead."""
        chooser = self._membership.random
        dead = [
            entry.member
            for entry in self._membership.view.entries()
            if entry.member.state is MemberState.DEAD
        ]
        live = self._membership.view.live()
        if dead and chooser.random() < _DEAD_PARTNER_SHARE:
            return _contacts(dead)
        own_domain = self._membership.self_member().failure_domain
        far = [member for member in live if member.failure_domain != own_domain]
        if far and chooser.random() < _FAR_PARTNER_SHARE:
            return _contacts(spread(far, 1, chooser))
        return _contacts(live)

    def _live_contacts(self) -> list[Contact]:
        return _contacts(self._membership.view.live())

    def _strangers(self) -> list[Contact]:
        """Returns contacts that are not known to be live."""
        live = {member.name for member in self._membership.members()}
        return [contact for contact in self._listed if contact.name not in live]

    async def _read_contacts(self) -> None:
        """Notes further contacts; they alone make nobody a member."""
        source = self._membership.app.find("contacts")
        if source is None:
            return
        match await source.fetch(self._settings.sync_timeout_s):
            case Success(contacts):
                self._listed = list(contacts)


def _contacts(members: list[Member]) -> list[Contact]:
    return [Contact(member.name, member.peer_address) for member in members]
