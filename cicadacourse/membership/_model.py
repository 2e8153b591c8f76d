"""The record of a member and its states."""

from __future__ import annotations

import enum

import attrs

from cicadacourse.config import MAX_PORT
from cicadacourse.util.addresses import split_address


class MemberState(enum.Enum):
    """The state of an instance; a leaving one still finishes its work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


def _check_address(_: object, attribute: object, text: str) -> None:
    """Raises ValueError if calls can't be made to an address."""
    _, port = split_address(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{text!r:.40} is no address")


@attrs.frozen
class Member:
    """The record of one instance.

    :param name: name of the instance, unique in the fleet.
    :param peer_address: address for other instances.
    :param caller_address: address for callers; empty if callers are not sent to it.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param incarnation: grows each time the instance starts or refutes a suspicion.
    :param state: its last known state.
    :param configuration_version: version of the configuration in force there, as last
        reported.
    """

    name: str
    peer_address: str = attrs.field(validator=_check_address)
    caller_address: str = ""
    region: str = "default"
    failure_domain: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    configuration_version: int = 0
