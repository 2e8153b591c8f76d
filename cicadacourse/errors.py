"""The closed list of error kinds, and the HTTP response to each kind."""

from __future__ import annotations

import enum

import attrs


class Execution(enum.Enum):
    """Whether the request that ended in an error was executed."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that parts of the system report to each other or callers."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    FORBIDDEN = "forbidden"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_ENDPOINT = "no_endpoint"
    PROMPT_SUSPECTED = "prompt_suspected"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    PEER_UNREACHABLE = "peer_unreachable"
    TIMED_OUT = "timed_out"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_TABLES = "invalid_tables"
    VERSION_CONFLICT = "version_conflict"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """The response that a caller receives for an error of one kind.

    :param status: the HTTP status code.
    :param execution: whether the request was executed, unless the error overrides it.
    :param is_retryable: whether a later retry can succeed.
    """

    status: int
    execution: Execution
    is_retryable: bool


RESPONSES_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.TOO_LARGE: ErrorResponse(413, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
        431, Execution.NOT_RUN, is_retryable=False
    ),
    ErrorKind.BODY_TOO_SLOW: ErrorResponse(408, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.FORBIDDEN: ErrorResponse(403, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.NOT_READY: ErrorResponse(503, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.LEAVING: ErrorResponse(503, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(429, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.OVERLOADED: ErrorResponse(503, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, Execution.NOT_RUN, is_retryable=True),
    ErrorKind.PROMPT_SUSPECTED: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.STORE_OUTCOME_UNKNOWN: ErrorResponse(
        502, Execution.UNKNOWN, is_retryable=True
    ),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.TIMED_OUT: ErrorResponse(504, Execution.FAILED, is_retryable=True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, Execution.UNKNOWN, is_retryable=False
    ),
    ErrorKind.ENDPOINT_UNREACHABLE: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.ENDPOINT_REFUSED: ErrorResponse(
        503, Execution.NOT_RUN, is_retryable=True
    ),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, Execution.FAILED, is_retryable=True),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(
        422, Execution.NOT_RUN, is_retryable=False
    ),
    ErrorKind.INVALID_TABLES: ErrorResponse(422, Execution.NOT_RUN, is_retryable=False),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(
        409, Execution.NOT_RUN, is_retryable=False
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, Execution.UNKNOWN, is_retryable=False),
}

DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Error:
    """One error, as parts of the system return it to each other.

    :param kind: the kind from the closed list.
    :param detail: one short sentence that names the thing at fault.
    :param reason: a label that is more specific than the kind, or empty.
    :param execution: whether the request was executed; the kind's default if None.
    :param retry_after_s: the delay in seconds after which a caller may retry, or None
        if the error sets no delay.
    """

    kind: ErrorKind
    detail: str = ""
    reason: str = ""
    execution: Execution | None = None
    retry_after_s: float | None = None

    @property
    def response(self) -> ErrorResponse:
        """The response to errors of this kind."""
        return RESPONSES_BY_KIND[self.kind]

    @property
    def label(self) -> str:
        """The reason, or the kind's value if empty; in responses, logs and metrics."""
        return self.reason or self.kind.value

    def to_json(self) -> dict[str, object]:
        """Returns the JSON body in which callers receive an error.

        A retryable error without a delay has :data:`DEFAULT_RETRY_AFTER_S` in it.

        >>> Error(ErrorKind.OVERLOADED, "queue is full").to_json()["run"]
        'not_run'
        """
        run = self.execution or self.response.execution
        body: dict[str, object] = {
            "kind": self.kind.value,
            "reason": self.label,
            "detail": self.detail,
            "run": run.value,
        }
        if self.response.is_retryable:
            body["retry_after_s"] = self.retry_after_s or DEFAULT_RETRY_AFTER_S
        return body


class CicadacourseError(Exception):
    """Wraps an :class:`Error` where it has to be raised instead of returned."""

    def __init__(self, error: Error) -> None:
        super().__init__(f"{error.kind.value}: {error.detail}")
        self.error = error
