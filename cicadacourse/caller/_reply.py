"""How one request ended, as its caller saw it."""

from __future__ import annotations

from typing import Any

import attrs

COMPLETE = "complete"
REFUSED = "refused"
UNKNOWN = "unknown"
FAILED = "failed"
NOT_RUN = "not_run"


@attrs.define
class Reply:
    """How one request ended, as its caller saw it.

    :param outcome: ``complete``, ``refused`` (it did not run), ``failed`` (it may
        have run in part and is without effect) or ``unknown``.
    :param text: the answer's text, whole if complete.
    :param error: the error's JSON, if any.
    :param wrong: whether anything but the own answer was received.
    :param resumes: how often the stream was resumed.
    :param first_token_s: time to the first text, in seconds.
    """

    outcome: str = UNKNOWN
    text: str = ""
    result: Any = None
    error: dict[str, Any] | None = None
    wrong: bool = False
    tries: int = 0
    resumes: int = 0
    first_token_s: float | None = None
    seconds: float = 0.0
