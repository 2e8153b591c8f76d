"""The digest by which all instances know a request that comes again."""

from __future__ import annotations

import hashlib

from cicadacourse.exchange import CallerRequest

# Digests of different requests must not collide by chance or on purpose: the one would
# be refused for the other.
DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def make_digest(request: CallerRequest, organisation: str | None) -> str:
    """Returns the digest of what stays the same when a caller sends a request again.

    That is the method, the host, the target, the organisation and the body, but neither
    the id nor the deadline, nor after which event a stream resumes.

    :param organisation: the name of the caller's organisation, or None.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    texts = (request.method, request.host, request.target, organisation or "")
    for part in (*(text.encode() for text in texts), request.body):
        # With their lengths, no two sequences of parts give the same bytes.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
