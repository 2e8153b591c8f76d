"""Codec of the store's records: batches of a topic, and pages of its newest records."""

from __future__ import annotations

import base64
import struct
from typing import Any

import attrs

from cicadacourse.platform import _fields as fields

_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic.

    :param key: the key; empty if the record is malformed.
    :param value: the value, or None if the record deletes the key.
    :param position: its offset in the topic; a position once the store's client returns
        the record.
    """

    key: str
    value: bytes | None
    position: int = 0


@attrs.frozen
class KeyedBatch:
    """Records of a topic: consecutive ones, or the newest of each key.

    :param records: in the order in which they were appended, if they are consecutive.
    :param end: the offset at which the next read starts; a position once the store's
        client returns the batch.
    :param is_trimmed: whether records were deleted, or lost by the store, before they
        were read.
    :param has_more: whether the topic goes on after ``end``, as the store bounds the
        size of a response.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_trimmed: bool = False
    has_more: bool = False


@attrs.frozen
class Page:
    """A page of the newest records of each key.

    :param end: the end offset of the topic.
    :param has_more: whether further pages follow.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool


def parse_page(body: bytes) -> Page:
    """Parses a page of the newest records of each key.

    :raises FieldError: if the page is malformed.
    """
    page = fields.parse_object(body)
    records = tuple(_read_item(item) for item in fields.array(page, "items"))
    end = int(fields.integer(page, "end"))
    return Page(records, end, fields.boolean(page, "hasMore") and bool(records))


def _read_item(item: Any) -> KeyedRecord:
    if not isinstance(item, dict):
        raise fields.FieldError(f"an item is {fields.shorten(item)}")
    key, text = item.get("key"), item.get("value")
    if not isinstance(key, str) or not isinstance(text, str):
        raise fields.FieldError(f"an item is {fields.shorten(item)}")
    try:
        value = base64.b64decode(text)
    except ValueError as error:
        raise fields.FieldError(f"a value is {fields.shorten(text)}") from error
    return KeyedRecord(_to_key(key), value, int(fields.integer(item, "offset", 0)))


def _to_key(text: str) -> str:
    """Returns a key that can be encoded, as keys of other writers may not be."""
    return text.encode(errors="replace").decode()


def parse_batch(body: bytes, offset: int) -> KeyedBatch:
    """Parses a batch: the topic's end offset, its first one, length-prefixed records.

    The topic may go on after the records of the batch.

    >>> record = b"\\x00\\x00\\x00\\x03\\x01ab"
    >>> batch = parse_batch(bytes(7) + b"\\x09" + bytes(8) + record, offset=4)
    >>> batch.records, batch.end, batch.has_more
    ((KeyedRecord(key='a', value=b'b', position=4),), 5, True)

    :param offset: the offset of the first record.
    :raises ValueError: if an offset, a length or a record is truncated, or missing.
    """
    topic_end, _ = _unpack(_ENDS, body, 0)
    position = _ENDS.size
    records: list[KeyedRecord] = []
    while position < len(body):
        (length,) = _unpack(_LENGTH, body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise ValueError("a record is truncated")
        content = body[position : position + length]
        records.append(_unpack_record(content, offset + len(records)))
        position += length
    if not records and offset < topic_end:
        raise ValueError("no record, although the topic goes on")
    end = offset + len(records)
    return KeyedBatch(tuple(records), end, has_more=end < topic_end)


def _unpack(layout: struct.Struct, body: bytes, position: int) -> tuple[int, ...]:
    try:
        return layout.unpack_from(body, position)
    except struct.error as error:
        raise ValueError(f"truncated at byte {position}") from error


def _unpack_record(body: bytes, offset: int) -> KeyedRecord:
    """Splits a record into key and value; an empty value deletes the key."""
    key_end = 1 + body[0] if body else 0
    if not body or key_end > len(body):
        return KeyedRecord("", b"", offset)
    key = body[1:key_end].decode(errors="replace")
    return KeyedRecord(key, body[key_end:] or None, offset)


def pack_record(key: str, value: bytes) -> bytes:
    """Returns the bytes of a record, prefixed with their length."""
    packed_key = key.encode()
    content = bytes([len(packed_key)]) + packed_key + value
    return _LENGTH.pack(len(content)) + content
