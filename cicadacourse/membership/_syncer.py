"""Anti-entropy: compares and merges the views of two members; fetches contacts."""

from __future__ import annotations

import asyncio

from returns.result import Success

from cicadacourse.membership._contacts import Contact
from cicadacourse.membership._context import Context
from cicadacourse.membership._messages import SyncDigest, SyncHashes, SyncMembers
from cicadacourse.membership._model import Member, MemberState
from cicadacourse.membership._selection import choose_across_domains
from cicadacourse.membership._sleep import Sleep
from cicadacourse.membership._view import bucket_hashes, bucket_of, digest
from cicadacourse.util.clock import now

# A refresh syncs with up to this many others, which are all of a small fleet, so that
# instances that start at the same time find each other at once.
_REFRESH_PARTNERS = 8
# Partners that count as dead are tried too, so that the sides of a healed network
# partition find each other again.
_DEAD_PARTNER_PROBABILITY = 0.125
_OTHER_DOMAIN_PARTNER_PROBABILITY = 0.5


class Syncer:
    """The anti-entropy of one instance."""

    def __init__(self, context: Context) -> None:
        self._app = context.app
        self._settings = context.settings
        self._records = context.records
        self._pauses = context.pauses
        self._tasks = context.tasks
        self._chooser = context.chooser
        self._known_contacts: list[Contact] = []

    async def run(self, sleep: Sleep) -> None:
        """Syncs with one partner per period and fetches the contacts periodically."""
        next_fetch_s = now()
        while True:
            jitter = 0.75 + 0.5 * self._chooser.random()
            await sleep(self._settings.sync_period_s * jitter)
            self._pauses.detect()
            if now() >= next_fetch_s:
                next_fetch_s = now() + self._settings.contacts_period_s
                await self._fetch_contacts()
                await self._sync_with_one(self._contacts_not_live())
            await self._sync_with_one(self._partner_candidates())

    async def refresh(self, sleep: Sleep) -> None:
        """Syncs with another instance, after a start or a pause.

        This instance learns what has changed before its start or during the pause. It
        retries until one has answered, and ends at once without any contact.
        """
        while self._records.own.is_refreshing:
            await self._fetch_contacts()
            contacts = [*self._live_contacts(), *self._contacts_not_live()]
            if not contacts:
                self._records.finish_refresh(has_synced=False)
            elif await self._sync_with_any(contacts):
                self._records.finish_refresh(has_synced=True)
            else:
                await sleep(self._settings.probe_period_s)

    def answer_digest(self, request: SyncDigest) -> SyncHashes:
        """Returns the bucket hashes of this side, or none if both views are equal."""
        hashes = bucket_hashes(self._records.members())
        return SyncHashes(
            sender=self._records.own.member,
            hashes=() if digest(hashes) == request.digest else hashes,
            deltas=self._records.deltas_for(request.sender.name),
        )

    def members_of(self, buckets: tuple[int, ...]) -> SyncMembers:
        """Returns all members of some buckets known here, the dead included."""
        known = [entry.member for entry in self._records.view.entries()]
        chosen = set(buckets)
        return SyncMembers(
            sender=self._records.own.member,
            buckets=buckets,
            members=tuple(item for item in known if bucket_of(item.name) in chosen),
        )

    async def sync(self, contact: Contact) -> bool:
        """Syncs this view with a contact's and returns whether the contact answered."""
        hashes = bucket_hashes(self._records.members())
        request = SyncDigest(
            sender=self._records.own.member,
            digest=digest(hashes),
            deltas=self._records.deltas_for(contact.name),
        )
        match await self._call(contact, request):
            case Success(SyncHashes() as reply):
                self._records.receive(reply.sender, *reply.deltas)
            case _:
                return False
        pairs = enumerate(zip(hashes, reply.hashes))
        buckets = tuple(index for index, (own, other) in pairs if own != other)
        if not buckets:
            return True
        match await self._call(contact, self.members_of(buckets)):
            case Success(SyncMembers(sender=sender, members=members)):
                self._records.receive(sender, *members)
                return True
        return False

    async def _call(self, contact: Contact, request: object) -> object:
        timeout_s = self._settings.sync_timeout_s
        return await self._app.get("peers").call(contact.address, request, timeout_s)

    async def _sync_with_one(self, contacts: list[Contact]) -> None:
        if contacts:
            await self.sync(self._chooser.choice(contacts))

    async def _sync_with_any(self, contacts: list[Contact]) -> bool:
        """Syncs with a few contacts at once and returns whether one has answered."""
        count = min(_REFRESH_PARTNERS, len(contacts))
        chosen = self._chooser.sample(contacts, count)
        tasks = [self._tasks.start(self.sync(contact)) for contact in chosen]
        for completed in asyncio.as_completed(tasks):
            if await completed:
                return True
        return False

    def _partner_candidates(self) -> list[Contact]:
        """Returns the members of which one is the next partner.

        They are the dead, one of another failure domain, or all live ones.
        """
        dead = [
            entry.member
            for entry in self._records.view.entries()
            if entry.member.state is MemberState.DEAD
        ]
        live = self._records.view.live()
        if dead and self._chooser.random() < _DEAD_PARTNER_PROBABILITY:
            return _to_contacts(dead)
        own_domain = self._records.own.member.failure_domain
        other_domains = [
            member for member in live if member.failure_domain != own_domain
        ]
        if other_domains and self._chooser.random() < _OTHER_DOMAIN_PARTNER_PROBABILITY:
            return _to_contacts(choose_across_domains(other_domains, 1, self._chooser))
        return _to_contacts(live)

    def _live_contacts(self) -> list[Contact]:
        return _to_contacts(self._records.view.live())

    def _contacts_not_live(self) -> list[Contact]:
        """Returns the contacts that are not known as live members."""
        live = {member.name for member in self._records.members()}
        return [contact for contact in self._known_contacts if contact.name not in live]

    async def _fetch_contacts(self) -> None:
        """Fetches the contacts; being listed alone makes no instance a member."""
        source = self._app.find("contacts")
        if source is None:
            return
        match await source.fetch(self._settings.sync_timeout_s):
            case Success(contacts):
                self._known_contacts = list(contacts)


def _to_contacts(members: list[Member]) -> list[Contact]:
    return [Contact(member.name, member.peer_address) for member in members]
