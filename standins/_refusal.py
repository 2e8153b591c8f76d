"""How a stand-in refuses a call."""

from __future__ import annotations

from typing import Any


class Refusal(Exception):
    """An answer with an error status.

    :param status: the HTTP status code.
    :param run: ``not_run``, ``failed`` or ``unknown``.
    :param retry_after_s: when to come back, in seconds, or None.
    :param fields: further fields of the JSON answer.
    """

    def __init__(
        self,
        status: int,
        run: str = "not_run",
        retry_after_s: float | None = None,
        **fields: Any,
    ) -> None:
        super().__init__(f"status {status}, {run} {fields or ''}".strip())
        self.status = status
        self.run = run
        self.retry_after_s = retry_after_s
        self.fields = fields

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON answer."""
        body = {"run": self.run, **self.fields}
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return body
