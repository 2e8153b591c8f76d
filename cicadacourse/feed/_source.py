"""The base class of services that read configuration and registry from a store."""

from __future__ import annotations

import abc

from cicadacourse.application import Service
from cicadacourse.catalog import RegistryCopy
from cicadacourse.feed._delegation import ReadDelegation
from cicadacourse.feed._history import ConfigurationHistory
from cicadacourse.membership import Membership, MemberState
from cicadacourse.util.clock import now


class TableFeed(Service, abc.ABC):
    """Keeps the catalogue and the endpoints current, as the service ``feed``.

    The platform adapter implements and registers it.

    :ivar read_delegation: decides whether this instance reads the store or leaves it to
        its neighbours.
    :ivar configuration_history: the bytes of the configuration in force, and of some
        before it.
    """

    read_delegation: ReadDelegation
    configuration_history: ConfigurationHistory

    @property
    @abc.abstractmethod
    def configuration_offset(self) -> int:
        """Offset before which no record has a newer version than that in force.

        It is 0 if it is not known.
        """

    @property
    @abc.abstractmethod
    def is_registry_lost(self) -> bool:
        """Whether this instance's reads of the registry fail now."""

    @abc.abstractmethod
    def apply_configuration(self, value: bytes, source: str, offset: int = 0) -> None:
        """Applies a configuration that was fetched from another instance.

        :param value: bytes of the configuration.
        :param source: name of that instance.
        :param offset: offset before which no record has a newer version; the records
            before it are not read any more.
        """

    @abc.abstractmethod
    def apply_registry(self, copy: RegistryCopy) -> None:
        """Applies what another instance knows of the registry where it is newer."""

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
