"""Log events of exchanges that go through another instance."""

from __future__ import annotations

from cicadacourse.logs._event import declare

EXCHANGE_PROXIED = declare(
    "proxy",
    "exchange goes through peer",
    "`endpoint` is reached through the instance `peer` after `took_s`; `reason` is"
    " `lost` (only others reach it), `may_be_lost` (most links of this instance are"
    " lost), `slow` (no direct connection was made in time) or `failed` (none could be"
    " made). The lines of `peer` have the same `request`.",
)
PEER_NOT_USED = declare(
    "proxy",
    "peer gives no connection",
    "The instance `peer` refused to connect to `endpoint`, or was silent, because of"
    " `reason`; another one may be asked.",
)
PROXIED_OPENED = declare(
    "proxy",
    "proxied exchange opened",
    "This instance holds a connection to `endpoint` for `sender`; `in_progress` such"
    " exchanges are open here.",
)
PROXIED_REFUSED = declare(
    "proxy",
    "proxied exchange refused",
    "This instance gives `sender` no connection to `endpoint`; `reason` is `leaving`,"
    " `busy`, `link_lost`, `closed`, `endpoint_leaving`, `endpoint_declined` or that of"
    " the failed connection.",
)
PROXIED_ENDED = declare(
    "proxy",
    "proxied exchange ended",
    "`outcome` is `complete`, `closed` (by `sender`), `abandoned` (no call of `sender`"
    " came in time), `stopped` (with this instance) or the reason of the failure;"
    " `pieces` of the response, `sent_bytes` in all, were passed on within `took_s`.",
)
