"""What reads the tables for an instance, whatever they are kept in."""

from __future__ import annotations

import abc
from typing import Sequence

from cicadacourse.application import Service
from cicadacourse.catalog import Endpoint
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.membership import Membership, MemberState
from cicadacourse.util.clock import now


class TableFeed(Service, abc.ABC):
    """Fills the catalogue and the fleet; made by the adapter as service ``feed``.

    :ivar read_delegation: decides whether this instance reads or lets others read.
    """

    read_delegation: ReadDelegation

    @property
    @abc.abstractmethod
    def configuration(self) -> bytes | None:
        """The bytes of the version in force, None if there is none."""

    @abc.abstractmethod
    def apply_configuration(self, value: bytes, source: str) -> None:
        """Takes a version as another instance knows it."""

    @abc.abstractmethod
    def apply_registry(self, endpoints: Sequence[Endpoint], offset: int) -> None:
        """Takes all endpoints as another instance knows them."""

    def is_store_reader(self) -> bool:
        """Returns whether this instance reads the store now."""
        membership: Membership = self.app.get("membership")
        own = membership.self_member()
        neighbours = [
            item.name
            for item in membership.members()
            if item.failure_domain == own.failure_domain
            and item.state is MemberState.ALIVE
        ]
        return self.read_delegation.is_store_reader(own.name, neighbours, now())
