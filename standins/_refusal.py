"""The exception by which a stand-in refuses a call."""

from __future__ import annotations

from typing import Any


class Refusal(Exception):
    """A call that gets a response with an error status.

    :param status: the HTTP status code.
    :param execution: whether the call was executed: ``not_run``, ``failed`` or
        ``unknown``; the field ``run`` of the JSON body.
    :param retry_after_s: the seconds to wait before a retry, or None.
    :param fields: further fields of the JSON body.
    """

    def __init__(
        self,
        status: int,
        execution: str = "not_run",
        retry_after_s: float | None = None,
        **fields: Any,
    ) -> None:
        super().__init__(f"status {status}, {execution} {fields or ''}".strip())
        self.status = status
        self.execution = execution
        self.retry_after_s = retry_after_s
        self.fields = fields

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON body of the response."""
        body = {"run": self.execution, **self.fields}
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return body
