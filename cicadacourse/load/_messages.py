"""Load reports, and the messages that fetch a configuration or a registry."""

from __future__ import annotations

from cicadacourse.peers import message


@message("load.Run")
class AssignmentReport:
    """One assignment, with an age instead of a time since clocks differ.

    :param endpoint: id of the endpoint.
    :param role: value of the :class:`~cicadacourse.load.Role`.
    :param context_tokens: KV-cache tokens that it may come to hold.
    :param read_ms: milliseconds of prefill that it adds to the engine.
    :param gap_ms: the longest inter-token gap that its stream allows, in milliseconds;
        0 if there is no such limit.
    :param age_ms: milliseconds since its placement.
    :param is_read: whether its prefill is done.
    """

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
    """Asks an instance for the configuration in force there.

    ``version`` is the one that the asking instance holds, 0 for none. Instances that
    don't set ``takes_delta`` are of an earlier release.
    """

    sender: str
    version: int = 0
    takes_delta: bool = False


@message("load.Evacuation")
class EvacuationRecord:
    """Whether a failure domain is evacuated, and from which position that is known."""

    failure_domain: str
    is_in_force: bool
    position: int


@message("load.Configuration")
class Configuration:
    """A configuration as a delta, or whole for an instance that takes no delta.

    ``version`` is the one in force at the source, 0 for none. ``delta`` leads to it
    from ``base_version``, or holds it whole if that is 0; it is empty if the source has
    no newer version, or if the asking instance must ask without a version. No record
    of the store before ``offset`` holds a newer version than that in force at the
    source; 0 if it did not read the store. ``evacuations`` are what the source knows of
    failure domains; with ``knows_evacuations``, that is all that the records before
    ``offset`` say about them. Earlier releases send neither.
    """

    value: bytes = b""
    version: int = 0
    base_version: int = 0
    delta: bytes = b""
    offset: int = 0
    evacuations: tuple[EvacuationRecord, ...] = ()
    knows_evacuations: bool = False


@message("load.Endpoint")
class EndpointRecord:
    """One endpoint as the registry lists it.

    ``started_ms`` is its start in Unix milliseconds, 0 if the registry doesn't say it.
    ``cold_ms`` is for how many milliseconds it is still cold, 0 if it is not.
    ``position`` is the position in the store's log up to which no newer entry of the
    endpoint exists; earlier releases don't send it.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    state: str
    started_ms: int = 0
    cold_ms: int = 0
    position: int = 0


@message("load.FetchRegistry")
class FetchRegistry:
    """Asks an instance for all endpoints that it knows.

    Instances that don't set ``takes_packed`` are of an earlier release.
    """

    sender: str
    takes_packed: bool = False


@message("load.Registry")
class Registry:
    """All endpoints that have an entry, as far as an instance knows.

    ``offset`` is the one up to which the registry had been read when they last changed.
    ``packed`` holds the message with its endpoints compressed, in their place.
    ``held_ids`` are endpoints without an entry that the instance still uses, as their
    entries may have expired during an outage of the store. Earlier releases list these
    among the endpoints.
    """

    offset: int
    endpoints: tuple[EndpointRecord, ...] = ()
    packed: bytes = b""
    held_ids: tuple[str, ...] = ()
