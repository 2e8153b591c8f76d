"""Checked access to the fields of the platform's JSON objects.

Each function raises :class:`FieldError` if the field has another type or is out of
range, or if it is missing and there is no default.
"""

from __future__ import annotations

import json
import reprlib
from typing import Any, Callable, TypeVar

from cicadacourse.util.clock import MS_PER_S

T = TypeVar("T")

# The largest number that JSON readers take exactly. Arithmetic with floats fails on
# integers of some hundred digits, which JSON allows.
MAX_NUMBER = 2**53 - 1
# Header fields of requests must hold what is read from the store.
MAX_STRING_LENGTH = 4096

_MISSING = object()


class FieldError(ValueError):
    """A field is missing, has another type or is out of range; the message names it."""


def parse_object(text: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    :raises FieldError: if the text is another value, or no JSON that can be read, such
        as one that is nested too deeply.
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error!r:.80}") from error
    if not isinstance(value, dict):
        raise FieldError("expected a JSON object")
    return value


def shorten(value: Any) -> str:
    """Returns a bounded description of any JSON value, for messages."""
    return f"{reprlib.repr(value):.80}"


def string(row: dict[str, Any], name: str, default: Any = _MISSING) -> str:
    """Returns a string that is not empty and can be encoded."""
    expected = f"a string of 1 to {MAX_STRING_LENGTH} characters"
    return _field(row, name, default, expected, _is_string)


def boolean(row: dict[str, Any], name: str, default: Any = _MISSING) -> bool:
    """Returns a boolean."""
    return _field(
        row, name, default, "true or false", lambda item: isinstance(item, bool)
    )


def number(row: dict[str, Any], name: str, default: Any = _MISSING) -> float:
    """Returns a number from 0 to :data:`MAX_NUMBER`."""
    return _field(row, name, default, "a non-negative number", _is_number)


def integer(row: dict[str, Any], name: str, default: Any = _MISSING) -> int:
    """Returns an integer from 0 to :data:`MAX_NUMBER`."""
    return _field(row, name, default, "a non-negative integer", _is_integer)


def count(row: dict[str, Any], name: str, default: Any = _MISSING) -> int:
    """Returns an integer from 1 to :data:`MAX_NUMBER`."""
    return int(_field(row, name, default, "an integer of at least 1", _is_count))


def rate(row: dict[str, Any], name: str) -> float:
    """Returns a number from 1 to :data:`MAX_NUMBER`, by which others are divided."""
    return _field(row, name, _MISSING, "a number of at least 1", _is_rate)


def seconds(row: dict[str, Any], name: str, default: Any = _MISSING) -> float:
    """Returns a field that holds milliseconds, in seconds.

    :param default: returned if the field is missing, in seconds.
    """
    if row.get(name) is None and default is not _MISSING:
        return default
    return number(row, name) / MS_PER_S


def array(row: dict[str, Any], name: str) -> list[Any]:
    """Returns a list, empty if the field is missing."""
    return _field(row, name, [], "a list", lambda item: isinstance(item, list))


def table(row: dict[str, Any], name: str) -> list[Any]:
    """Returns a list, empty if the field is missing; null is no list."""
    if name in row and row[name] is None:
        raise FieldError(f"{name} is null, expected a list")
    return array(row, name)


def _field(
    row: dict[str, Any],
    name: str,
    default: Any,
    expected: str,
    is_valid: Callable[[Any], Any],
) -> Any:
    value = row.get(name)
    if value is None and default is not _MISSING:
        return default
    if not is_valid(value):
        raise FieldError(f"{name} is {shorten(value)}, expected {expected}")
    return value


def _is_string(item: Any) -> bool:
    if not isinstance(item, str) or not 0 < len(item) <= MAX_STRING_LENGTH:
        return False
    # JSON allows single halves of surrogate pairs, which no encoding takes.
    return not any("\ud800" <= character <= "\udfff" for character in item)


def _is_number(item: Any) -> bool:
    is_real = isinstance(item, (int, float)) and not isinstance(item, bool)
    return is_real and 0 <= item <= MAX_NUMBER


def _is_rate(item: Any) -> bool:
    return _is_number(item) and item >= 1


def _is_count(item: Any) -> bool:
    return _is_integer(item) and item >= 1


def _is_integer(item: Any) -> bool:
    return _is_number(item) and item == int(item)
