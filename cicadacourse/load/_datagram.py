"""The frame of a load report in a datagram.

The frame distinguishes a new report from an old or duplicate one without decoding the
body. It also says whether the receiver relays the report, and how fresh the sender's
configuration and registry are. Most bodies are superseded by a newer report before they
are decoded.
"""

from __future__ import annotations

import struct

import attrs
import xxhash

from cicadacourse.peers import MalformedMessage

_FRAME = struct.Struct(">BQQQQQI")
_CONFIGURATION_AGE = struct.Struct(">I")
# Bits of the first byte. Instances of earlier releases send no configuration age.
_RELAYED = 1
_HAS_CONFIGURATION_AGE = 2
# Stands for an age that is not known.
UNKNOWN_AGE_MS = 2**32 - 1


@attrs.frozen
class Datagram:
    """One load report with its frame.

    :param is_relayed: whether the receiver relays it within its failure domain.
    :param sender_hash: hash of the sender's name.
    :param started_ms: start of the sender's process, Unix milliseconds.
    :param sequence: grows with each report of one process.
    :param catalog_version: version of the configuration in force at the sender, 0 if
        there is none.
    :param registry_offset: offset of the last registry change that the sender knows.
    :param store_age_ms: milliseconds since the sender itself read the registry.
    :param body: the encoded report.
    :param configuration_age_ms: milliseconds since the sender knew that no version was
        newer than ``catalog_version``.
    """

    is_relayed: bool
    sender_hash: int
    started_ms: int
    sequence: int
    catalog_version: int
    registry_offset: int
    store_age_ms: int
    body: bytes
    configuration_age_ms: int = UNKNOWN_AGE_MS

    def pack(self) -> bytes:
        """Returns the bytes of the datagram.

        >>> Datagram.unpack(Datagram(True, 1, 2, 3, 4, 5, 6, b"x").pack()).sequence
        3
        """
        flags = _HAS_CONFIGURATION_AGE | (_RELAYED if self.is_relayed else 0)
        frame = _FRAME.pack(
            flags,
            self.sender_hash,
            self.started_ms,
            self.sequence,
            self.catalog_version,
            self.registry_offset,
            self.store_age_ms,
        )
        return frame + _CONFIGURATION_AGE.pack(self.configuration_age_ms) + self.body

    @classmethod
    def unpack(cls, data: bytes) -> Datagram:
        """Parses a datagram.

        :raises MalformedMessage: if it is too short.
        """
        if len(data) < _FRAME.size:
            raise MalformedMessage("a datagram is too short")
        frame: tuple[int, int, int, int, int, int, int] = _FRAME.unpack_from(data)
        flags, fields = frame[0], frame[1:]
        is_relayed = bool(flags & _RELAYED)
        rest = data[_FRAME.size :]
        if not flags & _HAS_CONFIGURATION_AGE:
            return cls(is_relayed, *fields, rest)
        if len(rest) < _CONFIGURATION_AGE.size:
            raise MalformedMessage("a datagram is too short")
        (age_ms,) = _CONFIGURATION_AGE.unpack_from(rest)
        return cls(is_relayed, *fields, rest[_CONFIGURATION_AGE.size :], age_ms)


def hash_of(name: str) -> int:
    """Returns the hash that identifies the sender of a datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())
