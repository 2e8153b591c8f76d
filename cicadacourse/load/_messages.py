"""Load reports, and the messages with which instances fetch each other's tables."""

from __future__ import annotations

from cicadacourse.peers import message


@message("load.Run")
class AssignmentReport:
    """One assignment, with an age instead of a time since clocks differ."""

    endpoint: str
    role: str
    context_tokens: int = 0
    read_ms: int = 0
    gap_ms: int = 0
    age_ms: int = 0
    is_read: bool = False


@message("load.LoadReport")
class LoadReport:
    """All assignments of one instance; a later report replaces an earlier one."""

    sender: str
    runs: tuple[AssignmentReport, ...] = ()


@message("load.FetchConfiguration")
class FetchConfiguration:
    """Asks an instance for the configuration in force there."""

    sender: str


@message("load.Configuration")
class Configuration:
    """The bytes of a configuration, empty if the instance has none."""

    value: bytes = b""


@message("load.Endpoint")
class EndpointRecord:
    """One endpoint as the registry lists it; ``started_ms`` is 0 if it doesn't say."""

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    state: str
    started_ms: int = 0


@message("load.FetchRegistry")
class FetchRegistry:
    """Asks an instance for all endpoints that it knows."""

    sender: str


@message("load.Registry")
class Registry:
    """All endpoints, and the offset up to which the registry was read."""

    offset: int
    endpoints: tuple[EndpointRecord, ...] = ()
