"""The platform's names of headers, paths and topics.

No other package of ``cicadacourse`` uses them.
"""

from __future__ import annotations

HEADER_REQUEST_ID = "X-Cicadacourse-Request-Id"
HEADER_TIME_LEFT_MS = "X-Cicadacourse-Deadline-Ms"
HEADER_EXPECTED_ENDPOINT = "X-Cicadacourse-Expect-Instance"
HEADER_ORGANISATION = "X-Cicadacourse-Tenant"
HEADER_MODEL = "X-Cicadacourse-Model"
HEADER_TOKEN_COUNTS = "X-Cicadacourse-Token-Usage"
HEADER_PROMPT_PARTS = "X-Cicadacourse-Prompt-Prefix"
HEADER_HELPERS = "X-Cicadacourse-Helpers"
HEADER_ENGINE_PRIORITY = "X-Cicadacourse-Request-Priority"
HEADER_SIGNATURE = "X-Cicadacourse-Server-Seal"
HEADER_NOT_EXECUTED = "X-Cicadacourse-Not-Executed"
HEADER_FAULTY_ENDPOINT = "At-Server"
HEADER_LAST_EVENT_ID = "Last-Event-Id"
HEADER_REQUEST_LIMIT = "Server-Limit"
HEADER_RETRY_AFTER = "Retry-After"
HEADER_ENDPOINT_LEAVING = "Server-Leaving"
HEADER_STORE_ERA = "Store-Era"
AUTH_SCHEME = "Bearer"

PATH_READY = "/api/ready"
PATH_RESOLVE = "/api/resolve"
PATH_ORDER = "/api/order"
PATH_APPEND = "/api/log-append"
PATH_READ = "/api/log-read"
PATH_NEWEST = "/api/log-newest"

TOPIC_CONFIGURATION = "keyed.op"
KEY_CONFIGURATION = "config"
KEY_EVACUATION_PREFIX = "evacuate/"
TOPIC_ENDPOINTS = "keyed.servers"
TOPIC_INSTANCES = "keyed.cicadacourse-instances"

# Hop-by-hop headers, headers that each attempt sets itself, and headers that callers
# may not pass on: their key and a priority at the engine.
HEADERS_NOT_FORWARDED_TO_ENDPOINTS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        "Authorization",
        HEADER_TIME_LEFT_MS,
        HEADER_EXPECTED_ENDPOINT,
        HEADER_ORGANISATION,
        HEADER_HELPERS,
        HEADER_ENGINE_PRIORITY,
        HEADER_LAST_EVENT_ID,
    )
)
# Hop-by-hop headers, and the length, which is set with each response.
HEADERS_NOT_FORWARDED_TO_CALLERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
    )
)
