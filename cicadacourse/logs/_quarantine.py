"""Log events of what is suspected of crashing endpoints."""

from __future__ import annotations

from cicadacourse.logs._event import declare

PART_BLAMED = declare(
    "quarantine",
    "prompt parts blamed",
    "`endpoint` has crashed under a request of this instance that had got no event;"
    " `parts` of its prompt are blamed, `has_begun` is whether the response had begun.",
    True,
)
PART_SUSPECTED = declare(
    "quarantine",
    "prompt part suspected",
    "Requests with `prompt_part` are sent by all instances together once in"
    " `interval_s`; `weight` counts the crashes that it is blamed for.",
    True,
)
PART_CLEARED = declare(
    "quarantine",
    "prompt part cleared",
    "`prompt_part` is no longer suspected: a request with it has succeeded, another"
    " part explains the crashes, or they are long ago.",
)
REQUEST_BLAMED = declare(
    "quarantine",
    "request blamed",
    "`endpoint` has crashed under a request of this instance that had got no event;"
    " requests with `digest` are blamed, `has_begun` is whether the response had"
    " begun.",
    True,
)
REQUEST_SUSPECTED = declare(
    "quarantine",
    "request suspected",
    "Requests with `digest` are sent by all instances together once in `interval_s`;"
    " `weight` counts the crashes that they are blamed for. With `turn`, the first one"
    " is sent at once, and those with the same `turn` wait for its outcome.",
    True,
)
REQUEST_CLEARED = declare(
    "quarantine",
    "request cleared",
    "Requests with `digest` are no longer suspected: one has succeeded, another request"
    " explains the crashes, or they are long ago.",
)
