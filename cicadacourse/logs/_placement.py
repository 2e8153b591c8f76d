"""Log events of placement, limits and reservations."""

from __future__ import annotations

from cicadacourse.logs._event import declare

REQUEST_QUEUED = declare(
    "placement",
    "request waits",
    "No endpoint of `pool` has free capacity, or a long prompt waits for its turn;"
    " `usable` is the number of endpoints that are known and not ejected.",
)
REQUEST_MOVED = declare(
    "placement",
    "request moved to another pool",
    "`former_pool`, to which the request was admitted, has no live endpoint; the"
    " version `configuration` allows `pool` instead.",
)
PLACEMENT_YIELDED = declare(
    "placement",
    "placement yielded to another instance",
    "Both instances chose the same engines at once; the request is queued again.",
)
ENDPOINT_EJECTED = declare(
    "placement",
    "endpoint set aside",
    "`endpoint` is ejected for `for_s` because of `reason`; it gets no requests unless"
    " too many of its pool are ejected.",
    True,
)
ENDPOINT_READMITTED = declare(
    "placement", "endpoint back", "`endpoint` is no longer ejected."
)
ENDPOINT_DECLINES = declare(
    "placement",
    "endpoint declines requests",
    "`endpoint`, whose process started at `started_ms`, 0 if that is unknown, has"
    " refused a request and wants no other from this instance for `for_s`, in which it"
    " gets none.",
    True,
)
ENDPOINT_IN_NEED = declare(
    "placement",
    "endpoint in need",
    "`endpoint`, whose process started at `started_ms`, 0 if that is unknown, declines"
    " requests of an instance for `for_s`; all instances use it last until then."
    " `source` is `response`, or `peers` if another instance was refused.",
)
DECLINE_FORGOTTEN = declare(
    "placement",
    "endpoint no longer known to decline",
    "`endpoint`, whose process started at `started_ms`, 0 if that is unknown, may get"
    " requests again `left_s` too early; `reason` is `entry_changed` if its entry in"
    " the registry is gone or that of another process, `memory` if too many others"
    " decline.",
    True,
)
ENDPOINT_ACCEPTS = declare(
    "placement",
    "endpoint accepts requests again",
    "The time for which `endpoint` wanted no requests is over.",
)
ENDPOINT_LEAVES = declare(
    "placement",
    "endpoint states that it leaves",
    "`endpoint`, whose process started at `started_ms`, 0 if that is unknown, gets no"
    " request any more, until another process of it starts; `source` is `response`, or"
    " `peers` if another instance received the statement `age_s` ago.",
    True,
)
LEAVING_FORGOTTEN = declare(
    "placement",
    "endpoint no longer known to leave",
    "`endpoint`, whose process started at `started_ms`, 0 if that is unknown, may get"
    " requests again; `reason` is `entry_changed` if its entry in the registry is gone"
    " or that of another process, `memory` if too many others leave.",
    True,
)
ENDPOINT_RETRY_AFTER_REFUSED = declare(
    "placement",
    "endpoint retry time refused",
    "`endpoint` has refused a request and states a time that can't be read; it is"
    " ignored.",
    True,
)
ENDPOINT_LIMIT_CHANGED = declare(
    "limits",
    "endpoint limit changed",
    "`endpoint` names `limit` requests per second from all instances together, null if"
    " it names none any more; `source` is `response`, or `peers` if another instance"
    " received it `age_s` ago.",
    True,
)
PERMIT_UNAVAILABLE = declare(
    "limits",
    "permit unavailable",
    "The instance `source`, which grants the permits of a shared rate, did not reply;"
    " another one is asked.",
    True,
)
ENDPOINT_LIMIT_REFUSED = declare(
    "limits",
    "endpoint limit refused",
    "`endpoint` names a limit that can't be read; the last one stays in force.",
    True,
)
KV_CACHE_RESERVED = declare(
    "reservations",
    "KV cache reserved",
    "All `tickets` (reservations) of a prompt are held, `tokens` in total.",
)
KV_CACHE_NOT_RESERVED = declare(
    "reservations",
    "KV cache not reserved",
    "The engines `refused_by` did not grant a reservation.",
    True,
)
RESERVATION_NOT_RENEWED = declare(
    "reservations",
    "KV-cache reservation not renewed",
    "It expires at `endpoint` unless the next renewal succeeds.",
    True,
)
DECODE_ENGINE_DEAD = declare(
    "reservations",
    "decode engine dead",
    "`endpoint` sends no data, and the exchange of `request` ends; `reason` is"
    " `unreachable` if it accepts no connections either, `silent` if it has sent none"
    " for so long that the reserved KV cache may not be in use.",
    True,
)
RESERVATION_LEFT_TO_EXPIRE = declare(
    "reservations",
    "KV-cache reservation left to expire",
    "The release of `ticket` failed at `endpoint`.",
    True,
)
ORDER_PROXIED = declare(
    "reservations",
    "KV-cache order sent by peer",
    "The instance `peer` was asked to reserve or, if `is_release`, release `ticket` at"
    " `endpoint`; `reason` says why it did not, null if it did.",
)
