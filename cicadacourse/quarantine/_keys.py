"""What a request may be blamed for: the shared parts of its prompt, and its digest."""

from __future__ import annotations

import attrs

# The id of a prompt's part has no colon, so no part has the key of a request.
_REQUEST_PREFIX = "request:"


@attrs.define
class RequestKeys:
    """The keys under which crashes and successes of one request are recorded.

    :param parts: the ids of its prompt's shared parts; none without a prompt.
    :param digest: what identifies a repeated request, or empty to record none.
    :ivar turn: the turn of the trial for which it has a permit, or None.
    """

    parts: tuple[str, ...] = ()
    digest: str = ""
    turn: str | None = attrs.field(init=False, default=None)

    @property
    def request(self) -> tuple[str, ...]:
        """The key of the request itself, if it has one."""
        return (f"{_REQUEST_PREFIX}{self.digest}",) if self.digest else ()


def is_request_key(key: str) -> bool:
    """Returns whether a key is that of a request, not of a part of a prompt."""
    return key.startswith(_REQUEST_PREFIX)


def digest_of(key: str) -> str:
    """Returns the digest in the key of a request."""
    return key.removeprefix(_REQUEST_PREFIX)
