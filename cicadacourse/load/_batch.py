"""Several load reports in one datagram, for the instances of a failure domain.

In a large fleet, each instance gets a report for each request of all others. Receiving
a datagram costs more than what is in it, so relays collect reports for a short time.
"""

from __future__ import annotations

import struct
from typing import Sequence

from cicadacourse.peers import MalformedMessage

# The first byte of a batch. A single report begins with a smaller one.
_MARK = b"\xb7"
_LENGTH = struct.Struct(">H")
# Larger datagrams may be refused by the system, or lost as a whole.
MAX_BATCH_BYTES = 16_384


def is_batch(data: bytes) -> bool:
    """Returns whether a datagram is a batch."""
    return data.startswith(_MARK)


def pack_batch(reports: Sequence[bytes]) -> bytes:
    """Returns the bytes of a batch of packed reports.

    >>> unpack_batch(pack_batch([b"one", b""]))
    [b'one', b'']
    """
    parts = [_MARK]
    for report in reports:
        parts += (_LENGTH.pack(len(report)), report)
    return b"".join(parts)


def unpack_batch(data: bytes) -> list[bytes]:
    """Returns the packed reports of a batch.

    :raises MalformedMessage: if one of them is cut short.
    """
    reports = []
    position = len(_MARK)
    while position < len(data):
        try:
            (length,) = _LENGTH.unpack_from(data, position)
        except struct.error as error:
            raise MalformedMessage("a batch ends within a length") from error
        position += _LENGTH.size
        report = data[position : position + length]
        if len(report) < length:
            raise MalformedMessage("a report of a batch is cut short")
        reports.append(report)
        position += length
    return reports
