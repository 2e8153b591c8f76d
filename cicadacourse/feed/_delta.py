"""Encodes bytes as their difference from other bytes, the base, and compresses it.

It suits texts of many rows of which few change, such as JSON objects in an array. A
delta holds digests of the base and of the result, so that it can't be applied to
another base, and never yields anything but the bytes that it was made from.
"""

from __future__ import annotations

import struct
import zlib
from typing import Iterator

import xxhash

# Results of more bytes are refused when a delta is applied, before they are built. It
# is the default limit of a message between instances.
MAX_RESULT_BYTES = 4_194_304
_FORMAT = 1
# The format, the digests of base and result, and the length of the result in bytes.
_HEADER = struct.Struct(">B16s16sI")
# Start and length of a copy from the base, and the length of the literal after it.
_STEP = struct.Struct(">III")
_ROW_END = b"},"
# A shorter run is repeated as a literal. This also bounds the steps in a delta, and
# with them the bytes into which a valid one can expand.
_MIN_COPY_BYTES = 16
# Higher levels take longer and make configurations hardly shorter.
_COMPRESSION_LEVEL = 1


def make_delta(base: bytes, target: bytes) -> bytes:
    """Returns what :func:`apply_delta` needs to turn a base into a target.

    :param base: empty to encode the target whole.

    >>> delta = make_delta(b"", b"[{1},{2}]" * 100)
    >>> len(delta) < 100
    True
    >>> apply_delta(b"", delta) == b"[{1},{2}]" * 100
    True
    """
    header = _HEADER.pack(_FORMAT, _digest(base), _digest(target), len(target))
    steps = b"".join(
        _STEP.pack(start, length, len(literal)) + literal
        for start, length, literal in _steps(base, target)
    )
    return header + zlib.compress(steps, _COMPRESSION_LEVEL)


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Returns the target that a delta was made from.

    :raises ValueError: if the delta is malformed, or was made with another base.

    >>> apply_delta(b"another base", make_delta(b"base", b"target"))
    Traceback (most recent call last):
    ...
    ValueError: the delta has another base
    """
    try:
        format_, base_digest, digest, length = _HEADER.unpack_from(delta)
    except struct.error as error:
        raise ValueError("the delta is cut short") from error
    if format_ != _FORMAT:
        raise ValueError(f"the delta has the unknown format {format_}")
    if base_digest != _digest(base):
        raise ValueError("the delta has another base")
    if length > MAX_RESULT_BYTES:
        raise ValueError(f"the delta has a result of {length} bytes")
    result = _apply_steps(base, _decompress(delta[_HEADER.size :], length), length)
    if len(result) != length or _digest(result) != digest:
        raise ValueError("the delta yields another result")
    return result


def _digest(value: bytes) -> bytes:
    return xxhash.xxh3_128_digest(value)


def _rows(value: bytes) -> list[bytes]:
    """Splits bytes after each row end.

    >>> _rows(b"[{1},{2}]")
    [b'[{1},', b'{2}]']
    """
    *rows, last = value.split(_ROW_END)
    return [*(row + _ROW_END for row in rows), last]


def _start_by_row(base: bytes) -> dict[bytes, int]:
    start_by_row: dict[bytes, int] = {}
    start = 0
    for row in _rows(base):
        start_by_row.setdefault(row, start)
        start += len(row)
    return start_by_row


def _steps(base: bytes, target: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yields copies from the base, each with the literal that follows it."""
    start_by_row = _start_by_row(base)
    start, length, literal = 0, 0, bytearray()
    for row in _rows(target):
        if length and not literal and base.startswith(row, start + length):
            length += len(row)
        elif len(row) >= _MIN_COPY_BYTES and row in start_by_row:
            yield start, length, bytes(literal)
            start, length, literal = start_by_row[row], len(row), bytearray()
        else:
            literal += row
    yield start, length, bytes(literal)


def _decompress(data: bytes, result_length: int) -> bytes:
    """Decompresses steps, up to the most bytes that a result of this length needs."""
    max_steps = result_length // _MIN_COPY_BYTES + 2
    decompressor = zlib.decompressobj()
    try:
        steps = decompressor.decompress(data, result_length + max_steps * _STEP.size)
    except zlib.error as error:
        raise ValueError("the delta can't be decompressed") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the delta does not end where its result does")
    return steps


def _apply_steps(base: bytes, steps: bytes, result_length: int) -> bytes:
    result = bytearray()
    position = 0
    while position < len(steps):
        try:
            start, length, literal_length = _STEP.unpack_from(steps, position)
        except struct.error as error:
            raise ValueError("a step of the delta is cut short") from error
        position += _STEP.size
        result += base[start : start + length]
        result += steps[position : position + literal_length]
        position += literal_length
        if len(result) > result_length:
            raise ValueError("the delta yields too long a result")
    return bytes(result)
