"""The frame of a load report in a datagram.

The frame tells an old or repeated report from a new one without decoding it, whether
the receiver is to pass it on, and how fresh the sender's tables are. Most bodies are
replaced by a newer one before anybody reads them.
"""

from __future__ import annotations

import struct

import attrs
import xxhash

from cicadacourse.peers import MalformedMessage

_FRAME = struct.Struct(">BQQQQQI")


@attrs.frozen
class Datagram:
    """One report as it travels.

    :param is_relayed: whether the receiver passes it on within its failure domain.
    :param sender_hash: hash of the sender's name.
    :param started_ms: the sender's start, Unix milliseconds.
    :param sequence: grows with each report of one start.
    :param catalog_version: the configuration in force there, 0 if none.
    :param registry_offset: of the last change of the registry known there.
    :param store_age_ms: how long ago it read the registry itself.
    :param body: the encoded report.
    """

    is_relayed: bool
    sender_hash: int
    started_ms: int
    sequence: int
    catalog_version: int
    registry_offset: int
    store_age_ms: int
    body: bytes

    def pack(self) -> bytes:
        """Returns the bytes of the datagram.

        >>> Datagram.unpack(Datagram(True, 1, 2, 3, 4, 5, 6, b"x").pack()).sequence
        3
        """
        frame = _FRAME.pack(
            self.is_relayed,
            self.sender_hash,
            self.started_ms,
            self.sequence,
            self.catalog_version,
            self.registry_offset,
            self.store_age_ms,
        )
        return frame + self.body

    @classmethod
    def unpack(cls, data: bytes) -> Datagram:
        """Parses a datagram.

        :raises MalformedMessage: if it is too short.
        """
        if len(data) < _FRAME.size:
            raise MalformedMessage("a datagram is too short")
        is_relayed, *fields = _FRAME.unpack_from(data)
        return cls(bool(is_relayed), *fields, data[_FRAME.size :])


def hash_of(name: str) -> int:
    """Returns the hash by which datagrams name their sender."""
    return xxhash.xxh3_64_intdigest(name.encode())
