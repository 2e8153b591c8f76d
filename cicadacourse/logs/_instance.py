"""Log events of an instance and of what it knows of the others."""

from __future__ import annotations

from cicadacourse.logs._event import declare

INSTANCE_STARTED = declare("instance", "instance started", "All services are running.")
INSTANCE_LEAVING = declare(
    "instance",
    "instance leaves",
    "A termination signal was received; `in_progress` requests are given time to end.",
)
INSTANCE_STOPPED = declare(
    "instance", "instance stopped", "All services have stopped; the process exits."
)
INSTANCE_FAILED = declare(
    "instance",
    "instance could not run",
    "`reason` is the system's error, such as an address that can't be bound.",
    True,
)
TASK_ENDED = declare(
    "tasks",
    "background task ended",
    "The part `task` has failed, or a part that must not end has returned; the latter"
    " is started again after a backoff.",
    True,
)
CALLBACK_FAILED = declare(
    "tasks",
    "callback failed",
    "The event loop reports an error that no part has handled.",
    True,
)
RELOAD_IGNORED = declare(
    "instance",
    "settings unchanged until the next start",
    "SIGHUP was received; settings are read only at the start.",
)
READY = declare(
    "probes", "ready", "The readiness probe succeeds; requests are accepted."
)
NOT_READY = declare(
    "probes",
    "not ready",
    "The readiness probe fails; the instance is shutting down, or its configuration was"
    " superseded long ago.",
)
INSTANCES_LEFT_OUT = declare(
    "probes",
    "instances left out of look-ups",
    "Look-ups here leave out `count` of the `alive` instances, some of which are"
    " `instances`, as they have lost their links to endpoints; `cut_off` instances"
    " have. The next line tells of the next change; `count` 0 ends it.",
)
INSTANCES_NOT_READ = declare(
    "instances",
    "instances not read",
    "The list of instances could not be read from the store.",
    True,
)
INSTANCE_ANNOUNCED = declare(
    "instances", "instance announced", "The store holds this instance's address."
)
INSTANCE_NOT_ANNOUNCED = declare(
    "instances",
    "instance not announced",
    "The write to the store failed and is retried.",
    True,
)
MEMBER_LIVE = declare(
    "membership", "member joined", "The instance `member` at `address` is live."
)
MEMBER_DIED = declare(
    "membership", "member dead", "The instance `member` left or did not respond.", True
)
MEMBER_SUSPECTED = declare(
    "membership",
    "member suspected",
    "The instance `member` did not respond; it may refute the suspicion before it is"
    " declared dead.",
    True,
)
MEMBER_SUSPICION_CLEARED = declare(
    "membership", "member no longer suspected", "The instance `member` is alive."
)
RESUMED = declare(
    "membership",
    "resumed after a pause",
    "This instance did not run for `pause_s`; it synchronises with another member"
    " before it acts on its own view.",
    True,
)
REPORT_REFUSED = declare(
    "load", "report refused", "A malformed load report was ignored.", True
)
FACTS_REFUSED = declare(
    "evidence",
    "facts refused",
    "Observations that came with a load report of `source` could not be read.",
    True,
)
FACTS_NOT_FETCHED = declare(
    "evidence",
    "facts not fetched",
    "After a start or a pause, no other instance told its observations in time; they"
    " come with load reports later.",
)
