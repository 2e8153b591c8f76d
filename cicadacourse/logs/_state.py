"""Log events of the configuration, the registry and the store."""

from __future__ import annotations

from cicadacourse.logs._event import declare

CONFIGURATION_IN_FORCE = declare(
    "catalog",
    "configuration in force",
    "`version` is in force from now on; `source` is the store or an instance.",
)
CONFIGURATION_SUPERSEDED = declare(
    "catalog",
    "configuration superseded",
    "The instance `source` has the version `newer`; `version` is in force here until"
    " the newer one arrives.",
)
CONFIGURATION_REFUSED = declare(
    "catalog",
    "configuration refused",
    "A version could not be parsed and is ignored.",
    True,
)
CONFIGURATION_ENTRY_REFUSED = declare(
    "catalog",
    "entry of the configuration refused",
    "A malformed row of `table`, or the part that `reason` names, is ignored; the rest"
    " is in force.",
    True,
)
ENDPOINT_LISTED = declare(
    "registry",
    "endpoint listed",
    "An endpoint is new, or its `state`, `address` or start time changed; known from"
    " `position` in the store's log, read there or received from the instance"
    " `source`.",
)
ENDPOINT_GONE = declare(
    "registry",
    "endpoint gone",
    "`endpoint` was removed and gets no more requests; known from the store or from"
    " the instance `source`.",
)
ENDPOINT_HELD = declare(
    "registry",
    "endpoint held",
    "`endpoint` has no entry as of `position`, but the store was lost until just now."
    " It is used here for `for_s` longer, as its entry may have expired meanwhile.",
)
ENDPOINT_ENTRY_REFUSED = declare(
    "registry",
    "entry refused",
    "An entry of the registry or of the list of instances could not be parsed; the"
    " endpoint or instance that it describes is not used.",
    True,
)
ENDPOINT_COLD = declare(
    "registry",
    "endpoint cold",
    "`endpoint` has started or was idle and bears few requests for `for_s`; where its"
    " pool has a `cold_rate`, it gets only requests with a permit of that rate.",
)
DOMAIN_EVACUATED = declare(
    "catalog",
    "failure domain evacuated",
    "Operators want nothing more sent to the endpoints of `failure_domain`, by the"
    " record at `position` of the store; `source` is the store, `peers` or an"
    " instance.",
    True,
)
EVACUATION_WITHDRAWN = declare(
    "catalog",
    "evacuation withdrawn",
    "The endpoints of `failure_domain` may get requests again; the fields are those of"
    " `failure domain evacuated`.",
    True,
)
REGISTRY_READ = declare(
    "registry", "registry read", "All registry entries were read from the store."
)
REGISTRY_FETCHED = declare(
    "relay",
    "registry fetched",
    "All registry entries were received from the instance `source`, as of `offset`.",
)
FETCH_FAILED = declare(
    "relay",
    "fetch failed",
    "The `subject` (configuration or registry) was not received from the instance"
    " `source` because of `reason`; at most one line a second for each of both.",
    True,
)
STORE_LOST = declare(
    "store",
    "store lost",
    "Reads of `topic` fail; the last known records stay in use.",
    True,
)
STORE_RECOVERED = declare(
    "store", "store regained", "Reads of `topic` succeed again after `lost_for_s`."
)
STORE_CONNECTION_SILENT = declare(
    "store",
    "connection to the store silent",
    "A read got no byte of a response on a connection that had been used before, and is"
    " made again on a new one; all connections open then are given up.",
    True,
)
STORE_RESTORED = declare(
    "store",
    "store restored",
    "The store has come back from a copy and lost its latest records; `era` counts such"
    " times. All topics are read again, and this instance announces itself again.",
    True,
)
RECORDS_TRIMMED = declare(
    "store",
    "records were deleted before they were read",
    "All of `topic` is read again.",
)
