"""Who the live instances are."""

from __future__ import annotations

import enum

import attrs


class MemberState(enum.Enum):
    """How an instance is seen; leaving instances still finish their work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Member:
    """One instance as membership sees it.

    :param name: the instance's name.
    :param peer_address: where other instances connect.
    :param caller_address: where callers connect.
    :param region: its region.
    :param failure_domain: its failure domain.
    :param incarnation: grows each time the instance starts or refutes a suspicion.
    :param state: how it is seen now.
    :param configuration_version: the version in force on it, as last heard.
    """

    name: str
    peer_address: str
    caller_address: str = ""
    region: str = "default"
    failure_domain: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    configuration_version: int = 0
