"""Log events of the links between instances and endpoints."""

from __future__ import annotations

from cicadacourse.logs._event import declare

LINKS_LOST = declare(
    "reachability",
    "links to endpoints lost",
    "This instance can't connect to `count` endpoints that other instances reach, some"
    " of which are `endpoints`; `share` is the share of the endpoints that it counts as"
    " lost, and `lost_for_s` the time since the first of them could not be connected"
    " to.",
    True,
)
LINKS_RESTORED = declare(
    "reachability",
    "links to endpoints restored",
    "This instance connects to all endpoints again that other instances reach, after"
    " `lost_for_s`; up to `most` of them were lost at a time.",
)
