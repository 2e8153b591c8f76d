"""Records of the store's keyed topics: their bytes, and pages of the newest ones."""

from __future__ import annotations

import base64
import json
import struct

import attrs

_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic.

    :param key: the key; empty if the record's bytes can't be read.
    :param value: the value, or None if the key was dropped.
    """

    key: str
    value: bytes | None


@attrs.frozen
class KeyedBatch:
    """Records of a topic.

    :param records: in order.
    :param end: the offset to read on from.
    :param is_trimmed: whether records before these were deleted unread.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_trimmed: bool = False


@attrs.frozen
class Page:
    """A page of the newest records; ``end`` is that of the topic."""

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool


def parse_page(body: bytes) -> Page:
    """Parses a page of the newest records of each key."""
    page = json.loads(body)
    records = tuple(
        KeyedRecord(item["key"], base64.b64decode(item["value"]))
        for item in page["items"]
    )
    return Page(records, int(page["end"]), bool(page["hasMore"]) and bool(records))


def parse_batch(body: bytes) -> KeyedBatch:
    """Parses the end, the first kept offset, and records by their lengths.

    >>> parse_batch(bytes(7) + b"\\x02" + bytes(8) + b"\\x00\\x00\\x00\\x03\\x01ab")
    KeyedBatch(records=(KeyedRecord(key='a', value=b'b'),), end=2, is_trimmed=False)
    """
    end, _ = _ENDS.unpack_from(body)
    at = _ENDS.size
    records = []
    while at < len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + length > len(body):
            raise ValueError("a record is cut short")
        records.append(_unpack_record(body[at : at + length]))
        at += length
    return KeyedBatch(tuple(records), end)


def _unpack_record(body: bytes) -> KeyedRecord:
    """Splits a record into key and value; no value drops the key."""
    key_end = 1 + body[0] if body else 0
    if not body or key_end > len(body):
        return KeyedRecord("", b"")
    key = body[1:key_end].decode(errors="replace")
    return KeyedRecord(key, body[key_end:] or None)


def pack_record(key: str, value: bytes) -> bytes:
    """Returns a keyed record with its length before it."""
    packed_key = key.encode()
    content = bytes([len(packed_key)]) + packed_key + value
    return _LENGTH.pack(len(content)) + content
