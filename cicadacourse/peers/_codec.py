"""Encodes messages as Cap'n Proto structs with the same fields, and decodes them.

The field ``retry_after_s`` of a class is ``retryAfterS`` of the struct. A field that
may be None is a null pointer where the struct has text, data, a list or a struct. Where
it has a number or a boolean, a second field ``hasRetryAfterS`` says whether it is set.
"""

from __future__ import annotations

import functools
import importlib.resources
import math
import types
import typing
from typing import Any, Callable

import attrs
import capnp
import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from cicadacourse.peers._base import MESSAGES
from cicadacourse.registry import UnknownNameError

_SCALARS = (int, float, bool)
# A body that unpacks to more is refused: packing makes long runs of zeros very short.
_MAX_WORDS_PER_PACKED_BYTE = 16


class MalformedMessage(ValueError):
    """Bytes or values that do not form a message of the class they are named after."""


def encode(message: Any) -> bytes:
    """Encodes a message as packed bytes.

    :raises MalformedMessage: if a value does not fit its field.
    """
    struct = _struct(type(message).message_name)
    try:
        return struct.new_message(**_converter.unstructure(message)).to_bytes_packed()
    except (capnp.KjException, TypeError, ValueError, OverflowError) as error:
        detail = str(error).splitlines()[0]
        raise MalformedMessage(f"{type(message).message_name}: {detail}") from error


def decode(name: str, body: bytes) -> Any:
    """Decodes a message of the class that is registered under a name.

    :raises MalformedMessage: if the name is unknown or the bytes are malformed.
    """
    try:
        cls = MESSAGES.get(name)
    except UnknownNameError as error:
        raise MalformedMessage(str(error)) from error
    limit_words = max(1, len(body)) * _MAX_WORDS_PER_PACKED_BYTE
    try:
        reader = _struct(name).from_bytes_packed(
            body, traversal_limit_in_words=limit_words
        )
        return _converter.structure(reader.to_dict(), cls)
    except (
        capnp.KjException,
        cattrs.BaseValidationError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        raise MalformedMessage(f"{name}: not a valid message") from error


@functools.cache
def load_schema(schema_name: str) -> Any:
    """Returns the schema file of that name, loaded once."""
    files = importlib.resources.files("cicadacourse.schema")
    with importlib.resources.as_file(files / f"{schema_name}.capnp") as path:
        return capnp.load(str(path))


@functools.cache
def _struct(name: str) -> Any:
    schema_name, _, struct_name = name.partition(".")
    return getattr(load_schema(schema_name), struct_name)


def _to_camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def _is_optional(annotation: Any) -> bool:
    union = typing.get_origin(annotation) in (typing.Union, types.UnionType)
    return union and type(None) in typing.get_args(annotation)


def _is_optional_scalar(annotation: Any) -> bool:
    if not _is_optional(annotation):
        return False
    return any(member_type in _SCALARS for member_type in typing.get_args(annotation))


def _fields(cls: type) -> tuple[attrs.Attribute, ...]:
    return attrs.fields(attrs.resolve_types(cls))


def _presence_field(name: str) -> str:
    return _to_camel_case(f"has_{name}")


def _renames(cls: type) -> dict[str, Any]:
    """Returns the override that gives each field its name in the struct, by name."""
    return {
        field.name: override(rename=_to_camel_case(field.name))
        for field in _fields(cls)
    }


def _optional_scalars(cls: type) -> list[tuple[str, str]]:
    """Returns the struct's names of each optional scalar and its presence field."""
    return [
        (_to_camel_case(field.name), _presence_field(field.name))
        for field in _fields(cls)
        if _is_optional_scalar(field.type)
    ]


def _make_unstructure(cls: type) -> Any:
    """Returns the function that converts a message to its struct's fields."""
    convert: Callable[[Any], dict[str, Any]] = make_dict_unstructure_fn(
        cls, _converter, **_renames(cls)
    )
    optional_scalars = _optional_scalars(cls)

    def unstructure(message: Any) -> dict[str, Any]:
        values_by_name = convert(message)
        for name, presence_field in optional_scalars:
            values_by_name[presence_field] = values_by_name.get(name) is not None
        return {key: item for key, item in values_by_name.items() if item is not None}

    return unstructure


def _make_structure(cls: type) -> Any:
    """Returns the function that converts a struct's fields to a message."""
    convert: Callable[[dict[str, Any], type], Any] = make_dict_structure_fn(
        cls, _converter, **_renames(cls)
    )
    optional_scalars = _optional_scalars(cls)
    null_value_by_name = {
        _to_camel_case(field.name): _null_value(field.type) for field in _fields(cls)
    }

    def structure(values_by_name: dict[str, Any], _: type) -> Any:
        values_by_name = {**null_value_by_name, **values_by_name}
        for name, presence_field in optional_scalars:
            if not values_by_name.get(presence_field):
                values_by_name[name] = None
        return convert(values_by_name, cls)

    return structure


def _null_value(annotation: Any) -> Any:
    """Returns the field value that a null pointer in a struct stands for."""
    if _is_optional(annotation):
        return None
    empty_by_type = {str: "", bytes: b""}
    if annotation in empty_by_type:
        return empty_by_type[annotation]
    return () if typing.get_origin(annotation) in (tuple, list) else {}


def _to_finite(value: Any, _: type) -> float:
    """Returns a number by which timers can be set.

    :raises ValueError: if it is none.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{number} is not finite")
    return number


_converter = cattrs.Converter()
_converter.register_unstructure_hook_factory(attrs.has, _make_unstructure)
_converter.register_structure_hook_factory(attrs.has, _make_structure)
_converter.register_structure_hook(float, _to_finite)
_converter.register_unstructure_hook(bytes, lambda data: data)
_converter.register_structure_hook(bytes, lambda data, _: bytes(data))
