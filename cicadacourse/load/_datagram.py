"""The frame of a load report in a datagram.

The frame distinguishes a new report from an old or duplicate one without decoding the
body. It also says whether the receiver relays the report, and how fresh the sender's
configuration and registry are. Most bodies are superseded by a newer report before they
are decoded.
"""

from __future__ import annotations

import enum
import struct

import attrs
import xxhash

from cicadacourse.peers import MalformedMessage

_FRAME = struct.Struct(">BQQQQQI")
# The end of a datagram: a mark and the configuration's age. Instances of earlier
# releases send none, and read over what follows the body.
_TRAILER = struct.Struct(">4sI")
_TRAILER_MARK = b"\xc0age"
# Follows an attachment: a mark and the attachment's size in bytes. Instances of earlier
# releases read over both, like all that follows the body.
_ATTACHMENT_END = struct.Struct(">4sI")
_ATTACHMENT_MARK = b"\xc0att"
# Follows the body: a mark and the sender's capacity. Instances of earlier releases read
# over both. A sender with a capacity reads batches of reports.
_CAPACITY = struct.Struct(">4sI")
_CAPACITY_MARK = b"\xc0cap"
# Stands for an age that is not known.
UNKNOWN_AGE_MS = 2**32 - 1
# Stands for the capacity of an instance that reads no batches.
NO_CAPACITY = 0


class Relaying(enum.IntEnum):
    """Whether the receiver of a report relays it within its failure domain.

    Earlier releases take every value but ``NO`` for ``AT_ONCE``.
    """

    NO = 0
    AT_ONCE = 1
    IN_BATCH = 2


_RELAYING_BY_VALUE = {int(item): item for item in Relaying}


@attrs.frozen
class Datagram:
    """One load report with its frame.

    :param relaying: whether the receiver relays it within its failure domain.
    :param sender_hash: hash of the sender's name.
    :param started_ms: start of the sender's process, Unix milliseconds.
    :param sequence: grows with each report of one process.
    :param catalog_version: version of the configuration in force at the sender, 0 if
        there is none.
    :param registry_offset: offset of the last registry change that the sender knows.
    :param store_age_ms: milliseconds since the sender itself read the registry.
    :param body: the encoded report.
    :param configuration_age_ms: milliseconds since the sender itself read in the store
        that no version is newer than ``catalog_version``.
    :param attachment: bytes of another part of the sender, for the same part of the
        receiver.
    :param capacity: the sender's processor capacity in thousandths of a core, or
        ``NO_CAPACITY``.
    """

    relaying: Relaying
    sender_hash: int
    started_ms: int
    sequence: int
    catalog_version: int
    registry_offset: int
    store_age_ms: int
    body: bytes
    configuration_age_ms: int = UNKNOWN_AGE_MS
    attachment: bytes = b""
    capacity: int = NO_CAPACITY

    def pack(self) -> bytes:
        """Returns the bytes of the datagram.

        >>> packed = Datagram(Relaying.NO, 1, 2, 3, 4, 5, 6, b"x", capacity=500).pack()
        >>> Datagram.unpack(packed).sequence, Datagram.unpack(packed).capacity
        (3, 500)
        """
        frame = _FRAME.pack(
            self.relaying,
            self.sender_hash,
            self.started_ms,
            self.sequence,
            self.catalog_version,
            self.registry_offset,
            self.store_age_ms,
        )
        trailer = _TRAILER.pack(_TRAILER_MARK, self.configuration_age_ms)
        body = self.body + self._pack_capacity()
        return frame + body + self._pack_attachment() + trailer

    def _pack_capacity(self) -> bytes:
        if self.capacity == NO_CAPACITY:
            return b""
        return _CAPACITY.pack(_CAPACITY_MARK, self.capacity)

    def _pack_attachment(self) -> bytes:
        if not self.attachment:
            return b""
        end = _ATTACHMENT_END.pack(_ATTACHMENT_MARK, len(self.attachment))
        return self.attachment + end

    @classmethod
    def unpack(cls, data: bytes) -> Datagram:
        """Parses a datagram.

        :raises MalformedMessage: if it is too short.
        """
        if len(data) < _FRAME.size:
            raise MalformedMessage("a datagram is too short")
        frame: tuple[int, int, int, int, int, int, int] = _FRAME.unpack_from(data)
        relaying, fields = _read_relaying(frame[0]), frame[1:]
        rest = data[_FRAME.size :]
        body, trailer = rest[: -_TRAILER.size], rest[-_TRAILER.size :]
        if not trailer.startswith(_TRAILER_MARK) or len(trailer) < _TRAILER.size:
            return cls(relaying, *fields, rest)
        _, age_ms = _TRAILER.unpack(trailer)
        body, attachment = _split_attachment(body)
        body, capacity = _split_capacity(body)
        return cls(relaying, *fields, body, age_ms, attachment, capacity)


def _read_relaying(value: int) -> Relaying:
    return _RELAYING_BY_VALUE.get(value, Relaying.AT_ONCE)


def _split_capacity(data: bytes) -> tuple[bytes, int]:
    """Returns the body and the capacity."""
    end = data[-_CAPACITY.size :]
    if not end.startswith(_CAPACITY_MARK) or len(end) < _CAPACITY.size:
        return data, NO_CAPACITY
    _, capacity = _CAPACITY.unpack(end)
    return data[: -_CAPACITY.size], capacity


def _split_attachment(data: bytes) -> tuple[bytes, bytes]:
    """Returns the body and the attachment, which is empty if there is none."""
    end = data[-_ATTACHMENT_END.size :]
    if not end.startswith(_ATTACHMENT_MARK) or len(end) < _ATTACHMENT_END.size:
        return data, b""
    _, size = _ATTACHMENT_END.unpack(end)
    rest = data[: -_ATTACHMENT_END.size]
    if size > len(rest):
        return data, b""
    return rest[: len(rest) - size], rest[len(rest) - size :]


def hash_of(name: str) -> int:
    """Returns the hash that identifies the sender of a datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())
