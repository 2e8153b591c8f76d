"""Type-checked access to the fields of the platform's JSON objects.

Each function raises :class:`FieldError` if the field has another type, or if it is
missing and there is no default.
"""

from __future__ import annotations

from typing import Any, Callable, TypeVar

from cicadacourse.util.clock import MS_PER_S

T = TypeVar("T")

_MISSING = object()


class FieldError(ValueError):
    """A field is missing or has another type; the message names the field."""


def string(row: dict[str, Any], name: str, default: Any = _MISSING) -> str:
    """Returns a string that is not empty."""
    return _field(
        row,
        name,
        default,
        "a non-empty string",
        lambda item: isinstance(item, str) and item,
    )


def boolean(row: dict[str, Any], name: str, default: Any = _MISSING) -> bool:
    """Returns a boolean."""
    return _field(
        row, name, default, "true or false", lambda item: isinstance(item, bool)
    )


def number(row: dict[str, Any], name: str, default: Any = _MISSING) -> float:
    """Returns a number that is not negative."""
    return _field(row, name, default, "a non-negative number", _is_number)


def integer(row: dict[str, Any], name: str, default: Any = _MISSING) -> int:
    """Returns an integer that is not negative."""
    return _field(row, name, default, "a non-negative integer", _is_integer)


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
        raise FieldError(f"{name} is {value!r:.60}, expected {expected}")
    return value


def _is_number(item: Any) -> bool:
    is_real = isinstance(item, (int, float)) and not isinstance(item, bool)
    return is_real and 0 <= item < float("inf")


def _is_integer(item: Any) -> bool:
    return _is_number(item) and item == int(item)
