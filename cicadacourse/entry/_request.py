"""Requests of callers, parsed and checked."""

from __future__ import annotations

import binascii
import json
import math
import re
import time
import uuid
from base64 import urlsafe_b64decode, urlsafe_b64encode
from typing import Any, Callable

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.claims import MAX_KEY_SKEW_S
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.util.tokens import count_tokens

MAX_TEXT_LENGTH = 128
MAX_TIME_LIMIT_S = 86_400.0
MAX_TOKENS = 10_000_000
DEFAULT_TIME_LIMIT_S = 60.0
DEFAULT_MAX_TOKENS = 256

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_KEY = re.compile(r"(\d{1,12})-[A-Za-z0-9._-]{1,100}")


@attrs.frozen
class ResumeToken:
    """Where a stream ran, so that any instance can go on with it.

    :param endpoint: the name of the engine.
    :param session: the name of the session there.
    :param attempt: the attempt whose lines the session sends.
    """

    endpoint: str
    session: str
    attempt: int

    def encode(self) -> str:
        """Returns the token's text for callers."""
        parts = [self.endpoint, self.session, self.attempt]
        return urlsafe_b64encode(json.dumps(parts).encode()).decode()

    @classmethod
    def decode(cls, text: str) -> ResumeToken | None:
        """Reads a token's text; None if it is not one."""
        try:
            endpoint, session, attempt = json.loads(urlsafe_b64decode(text))
            token = cls(str(endpoint), str(session), int(attempt))
        except (ValueError, TypeError, binascii.Error):
            return None
        return token if _NAME.fullmatch(token.session) else None


@attrs.frozen
class Resume:
    """What a caller holds already of the answer it asks for again.

    :param position: how many tokens that is.
    """

    position: int
    text: str
    token: ResumeToken | None = None


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One request of a caller.

    :param key: names the request for its at-most-once run, or empty.
    :param time_limit_s: seconds from its arrival to its end.
    """

    request_id: str
    organisation: str
    route: str
    prompt: str
    prompt_tokens: int
    max_tokens: int = DEFAULT_MAX_TOKENS
    time_limit_s: float = DEFAULT_TIME_LIMIT_S
    repeatable: bool | None = None
    key: str = ""
    resume: Resume | None = None


class _Invalid(ValueError):
    """A field that is not as documented."""


def parse_request(body: bytes) -> Result[CallerRequest, Error]:
    """Parses the body of ``POST /v1/requests``."""
    try:
        fields = json.loads(body)
        if not isinstance(fields, dict):
            raise _Invalid("the body must be a JSON object")
        return Success(_to_request(fields))
    except _Invalid as error:
        return Failure(Error(ErrorKind.BAD_REQUEST, str(error)))
    except (ValueError, RecursionError):
        return Failure(Error(ErrorKind.BAD_REQUEST, "the body is not JSON"))


def check_key(key: str, horizon_s: float, clock: Callable[[], float] = time.time):
    """Checks a key's form and age, and returns the error or None.

    :param horizon_s: the greatest age at which a claim of the key is still kept.
    """
    match = _KEY.fullmatch(key)
    if match is None:
        detail = f"key {key[:40]!r}: expected <unix seconds>-<random>"
        return Error(ErrorKind.BAD_REQUEST, detail, "key_syntax")
    age_s = clock() - int(match[1])
    if age_s > horizon_s:
        return Error(ErrorKind.KEY_EXPIRED, f"key is {age_s:.0f} s old")
    if age_s < -MAX_KEY_SKEW_S:
        detail = "key lies in the future"
        return Error(ErrorKind.BAD_REQUEST, detail, "key_future")
    return None


def _to_request(fields: dict[str, Any]) -> CallerRequest:
    unknown = fields.keys() - _FIELDS
    if unknown:
        raise _Invalid(f"unknown field {min(unknown)[:40]!r}")
    prompt = _text(fields, "prompt")
    return CallerRequest(
        request_id=_name(fields, "request_id", uuid.uuid4().hex),
        organisation=_name(fields, "organisation"),
        route=_name(fields, "route"),
        prompt=prompt,
        prompt_tokens=count_tokens(_encoded("prompt", prompt)),
        max_tokens=_whole(fields, "max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS),
        time_limit_s=_time_limit_s(fields),
        repeatable=_flag(fields, "repeatable"),
        key=_text(fields, "key", "")[:MAX_TEXT_LENGTH],
        resume=_resume(fields),
    )


def _resume(fields: dict[str, Any]) -> Resume | None:
    resume = fields.get("resume")
    if resume is None:
        return None
    if not isinstance(resume, dict):
        raise _Invalid("resume: expected an object")
    try:
        return _to_resume(resume)
    except _Invalid as error:
        raise _Invalid(f"resume: {error}") from None


def _to_resume(fields: dict[str, Any]) -> Resume:
    text = _text(fields, "text")
    position = _whole(fields, "position", None, 0, MAX_TOKENS)
    if position != count_tokens(_encoded("text", text)):
        raise _Invalid("position is not the count of the text's tokens")
    token_text = _text(fields, "token", "")
    return Resume(position, text, ResumeToken.decode(token_text))


def _text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise _Invalid(f"{name}: expected text")
    return value


def _encoded(name: str, text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise _Invalid(f"{name}: holds a lone surrogate") from None


def _name(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    value = _text(fields, name, default)
    if len(value) > MAX_TEXT_LENGTH or not _NAME.fullmatch(value):
        raise _Invalid(f"{name}: expected letters, digits, '-', '_' and '.'")
    return value


def _whole(
    fields: dict[str, Any], name: str, default: int | None, minimum: int, maximum: int
) -> int:
    value = fields.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise _Invalid(f"{name}: expected a whole number")
    if not minimum <= value <= maximum:
        raise _Invalid(f"{name}: expected {minimum} to {maximum}")
    return value


def _time_limit_s(fields: dict[str, Any]) -> float:
    value = fields.get("time_limit_s", DEFAULT_TIME_LIMIT_S)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _Invalid("time_limit_s: expected a number of seconds")
    if not (math.isfinite(value) and 0 < value <= MAX_TIME_LIMIT_S):
        raise _Invalid(f"time_limit_s: expected more than 0 to {MAX_TIME_LIMIT_S:g}")
    return float(value)


def _flag(fields: dict[str, Any], name: str) -> bool | None:
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise _Invalid(f"{name}: expected true or false")
    return value


_FIELDS = frozenset(
    {
        "request_id",
        "organisation",
        "route",
        "prompt",
        "max_tokens",
        "time_limit_s",
        "repeatable",
        "key",
        "resume",
    }
)
