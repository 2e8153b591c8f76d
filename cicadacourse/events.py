"""The event bus, on which the services of an instance notify each other."""

from __future__ import annotations

from collections import defaultdict
from typing import Any, Callable

from cicadacourse.util.logging import get_logger

logger = get_logger("events")

# Each event is emitted with the arguments that the comment above it names, if any.
# The member.
MEMBER_JOINED = "member-joined"
# The member.
MEMBER_LEFT = "member-left"
# The version now in force.
CATALOG_CHANGED = "catalog-changed"
# Operators have evacuated a failure domain, or withdrawn that.
EVACUATIONS_CHANGED = "evacuations-changed"
# Which endpoints may get requests has changed.
ELIGIBILITY_CHANGED = "eligibility-changed"
# The endpoint, in its state before or after the change.
ENDPOINT_CHANGED = "endpoint-changed"
# The endpoint, whose process this instance or another one has seen ended.
ENDPOINT_ENDED = "endpoint-ended"
# The id of the endpoint, which has sent a part of a response.
ENDPOINT_SENT_DATA = "endpoint-sent-data"
LOAD_CHANGED = "load-changed"
# The reporting instance's name, and the version in force on it.
CATALOG_VERSION_RECEIVED = "catalog-version-received"
# A version, and how many seconds ago it was surely the newest one.
CATALOG_CONFIRMED = "catalog-confirmed"
# The reporting instance's name, its offset in the registry, and how many seconds ago it
# last read the registry.
REGISTRY_OFFSET_RECEIVED = "registry-offset-received"
# The endpoint of which this instance knows more, or None if it may be any.
LINKS_CHANGED = "links-changed"
RESUMED_AFTER_PAUSE = "resumed-after-pause"
# The store has come back from a copy and has lost the latest records.
STORE_RESTORED = "store-restored"
# The reporting instance's name, and the bytes that came with its load report.
ATTACHMENT_RECEIVED = "attachment-received"

EVENT_NAMES = frozenset(
    {
        MEMBER_JOINED,
        MEMBER_LEFT,
        CATALOG_CHANGED,
        EVACUATIONS_CHANGED,
        ELIGIBILITY_CHANGED,
        ENDPOINT_CHANGED,
        ENDPOINT_ENDED,
        ENDPOINT_SENT_DATA,
        LOAD_CHANGED,
        CATALOG_CONFIRMED,
        CATALOG_VERSION_RECEIVED,
        REGISTRY_OFFSET_RECEIVED,
        LINKS_CHANGED,
        RESUMED_AFTER_PAUSE,
        STORE_RESTORED,
        ATTACHMENT_RECEIVED,
    }
)


class EventBus:
    """Calls the listeners of an event, in the order in which they were connected."""

    def __init__(self) -> None:
        self._listeners_by_event: dict[str, list[Callable[..., None]]] = defaultdict(
            list
        )

    def connect(self, event: str, listener: Callable[..., None]) -> None:
        """Connects a synchronous function to an event.

        :raises ValueError: if the event is not in :data:`EVENT_NAMES`.
        """
        if event not in EVENT_NAMES:
            raise ValueError(f"unknown event {event!r}")
        self._listeners_by_event[event].append(listener)

    def emit(self, event: str, *args: Any) -> None:
        """Calls every listener; logs a listener's exception and calls the others."""
        for listener in self._listeners_by_event[event]:
            try:
                listener(*args)
            except Exception:
                logger.exception("listener of {} failed", event)
