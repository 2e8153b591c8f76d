"""Settings: each option is declared once with its type, default, unit and bounds."""

from __future__ import annotations

import configparser
import ipaddress
import re
from types import MappingProxyType
from typing import Any, Callable, Mapping, TypeVar, dataclass_transform

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.errors import Error, ErrorKind
from cicadacourse.registry import Registry, suggest

S = TypeVar("S")

SECTIONS: Registry[type] = Registry("section")

_METADATA_KEY = "cicadacourse_option"


@attrs.frozen
class Option:
    """How the value of one option is parsed, checked and documented.

    :param parse: converts text to the value; raises ValueError if it is malformed.
    :param expected: what a valid value is, for error messages.
    :param unit: the unit of the value, or empty.
    :param help: one line for the operators' reference page.
    :param minimum: the lowest valid number, or None.
    :param maximum: the highest valid number, or None.
    """

    parse: Callable[[str], Any]
    expected: str
    unit: str = ""
    help: str = ""
    minimum: float | None = None
    maximum: float | None = None


def option(
    parse: Callable[[str], Any],
    default: Any = attrs.NOTHING,
    *,
    unit: str = "",
    help: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
) -> Any:
    """Declares a field of a section class as an option; see :class:`Option`.

    :param default: the value if the option is absent; an option without a default
        is required.
    """
    expected = EXPECTED_BY_PARSER.get(parse, parse.__name__.replace("_", " "))
    spec = Option(parse, expected, unit, help, minimum, maximum)
    return attrs.field(default=default, metadata={_METADATA_KEY: spec})


def options_by_name(cls: type) -> dict[str, tuple[Option, Any]]:
    """Returns each option of a section class with its default."""
    return {
        field.name: (field.metadata[_METADATA_KEY], field.default)
        for field in attrs.fields(cls)
        if _METADATA_KEY in field.metadata
    }


@dataclass_transform(kw_only_default=True, frozen_default=True)
def section(name: str) -> Callable[[type[S]], type[S]]:
    """Returns a decorator that registers a section's class under its name.

    The decorator makes it a frozen attrs class, whose fields are the options.
    """

    def decorate(cls: type[S]) -> type[S]:
        section_class = attrs.frozen(kw_only=True)(cls)
        SECTIONS.register(name)(section_class)
        return section_class

    return decorate


def parse_bool(text: str) -> bool:
    """Parses ``yes`` or ``no``, or another boolean that INI files allow.

    :raises ValueError: if the text is none of them.
    """
    states = configparser.ConfigParser.BOOLEAN_STATES
    if text.lower() not in states:
        raise ValueError(text)
    return states[text.lower()]


def parse_name(text: str) -> str:
    """Parses a name of ASCII letters, digits, ``-``, ``_`` and ``.``.

    :raises ValueError: if it has other characters, no letter or digit, or more than
        :data:`MAX_NAME_LENGTH` characters.
    """
    stripped = text.replace("-", "").replace("_", "").replace(".", "")
    if not stripped.isalnum() or not text.isascii() or len(text) > MAX_NAME_LENGTH:
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Parses ``IP:port``; host names are not resolved.

    :raises ValueError: if the IP address or the port is malformed.

    >>> parse_address("127.0.0.1:80")
    '127.0.0.1:80'
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    # A zone of an IPv6 address may be any text.
    if "%" in host or _PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parses ``IP:port`` addresses separated by commas or white space.

    :raises ValueError: if one of them is malformed.
    """
    return tuple(parse_address(part) for part in text.replace(",", " ").split())


def parse_region_by_domain(text: str) -> Mapping[str, str]:
    """Parses failure domains with their regions.

    >>> parse_region_by_domain("east-a:east, west-a:west")["west-a"]
    'west'

    :raises ValueError: if a name is malformed or a failure domain is named twice.
    """
    pairs = [part.split(":") for part in text.replace(",", " ").split()]
    found = {parse_name(domain): parse_name(region) for domain, region in pairs}
    if len(found) < len(pairs):
        raise ValueError(text)
    return MappingProxyType(found)


def parse_log_level(text: str) -> str:
    """Parses the name of a level of the log, in upper or lower case.

    :raises ValueError: if it is none of :data:`LOG_LEVELS`.
    """
    if text.lower() not in LOG_LEVELS:
        raise ValueError(text)
    return text


MAX_PORT = 65535
_PORT = re.compile("[1-9][0-9]{0,4}")
MAX_NAME_LENGTH = 64
LOG_LEVELS = ("critical", "error", "warning", "notice", "info", "debug", "trace")

EXPECTED_BY_PARSER: dict[Callable[[str], Any], str] = {
    int: "a whole number",
    float: "a number",
    str: "text",
    parse_bool: "yes or no",
    parse_name: "a name of letters, digits, '-', '_' and '.'",
    parse_address: "an IP address and a port, such as 127.0.0.1:7000",
    parse_addresses: "IP addresses with ports, separated by commas",
    parse_region_by_domain: "failure domains with regions as 'a:east, b:west'",
    parse_log_level: f"{', '.join(LOG_LEVELS[:-1])} or {LOG_LEVELS[-1]}",
}


def parse_section(
    cls: type, file: str, section_name: str, texts_by_option: dict[str, str]
) -> Result[Any, list[Error]]:
    """Creates a section object from the texts of its options.

    :param file: the file's name, for error messages.
    :returns: the object, or every error found.
    """
    specs = options_by_name(cls)
    errors = [
        _option_error(file, section_name, name, text, _describe_unknown(cls, name))
        for name, text in texts_by_option.items()
        if name not in specs
    ]
    values: dict[str, Any] = {}
    for name, (spec, default) in specs.items():
        if name not in texts_by_option:
            if default is attrs.NOTHING:
                message = f"missing; expected {spec.expected}"
                errors.append(_option_error(file, section_name, name, "", message))
            continue
        match _parse_option(spec, texts_by_option[name].strip()):
            case Success(value):
                values[name] = value
            case Failure(message):
                text = texts_by_option[name]
                errors.append(_option_error(file, section_name, name, text, message))
    if errors:
        return Failure(errors)
    return Success(cls(**values))


def _describe_unknown(cls: type, name: str) -> str:
    """Says what to do about an option that the section does not have.

    A section's class may say in ``REASON_BY_REMOVED_OPTION`` why it lacks an option
    that it once had.
    """
    reason = getattr(cls, "REASON_BY_REMOVED_OPTION", {}).get(name)
    if reason is not None:
        return f"removed, as {reason}; delete this line"
    return f"unknown option{suggest(name, options_by_name(cls))}"


def _parse_option(spec: Option, text: str) -> Result[Any, str]:
    """Parses one value and checks its bounds; a failure says what was expected."""
    expected = f"expected {spec.expected}{f' in {spec.unit}' if spec.unit else ''}"
    try:
        value = spec.parse(text)
    except ValueError:
        return Failure(expected)
    # NaN is neither below the minimum nor above the maximum.
    if isinstance(value, float) and value != value:
        return Failure(expected)
    if spec.minimum is not None and value < spec.minimum:
        return Failure(f"{expected}, at least {spec.minimum:g}")
    if spec.maximum is not None and value > spec.maximum:
        return Failure(f"{expected}, at most {spec.maximum:g}")
    return Success(value)


def _option_error(
    file: str, section_name: str, name: str, text: str, message: str
) -> Error:
    shown = f" = {text!r}" if text else ""
    detail = f"{file}: [{section_name}] {name}{shown}: {message}"
    return Error(ErrorKind.INVALID_SETTINGS, detail)


def read_ini(file: str, text: str) -> Result[dict[str, dict[str, str]], list[Error]]:
    """Returns the text of each option of an INI file, by section and option name.

    ``[DEFAULT]`` is a section like any other; its options are no defaults of the rest.

    :param file: the file's name, for error messages.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        detail = f"{file}: {error.message.splitlines()[0]}"
        return Failure([Error(ErrorKind.INVALID_SETTINGS, detail)])
    return Success({name: dict(parser[name]) for name in parser.sections()})


@section("instance")
class InstanceSettings:
    """This instance's identity, addresses for callers and instances, and log level."""

    name: str = option(parse_name, help="Name of this instance, unique in the fleet.")
    region: str = option(parse_name, "default", help="Region of this instance.")
    failure_domain: str = option(parse_name, help="Failure domain of this instance.")
    region_by_domain: Mapping[str, str] = option(
        parse_region_by_domain,
        MappingProxyType({}),
        help="Regions of the failure domains; needed where the configuration names"
        " regions that may serve requests.",
    )
    caller_address: str = option(parse_address, help="Where callers connect.")
    peer_address: str = option(parse_address, help="Where other instances connect.")
    log_level: str = option(
        parse_log_level, "INFO", help="Lowest level that is logged."
    )


class Settings:
    """The settings of one instance: one object per section class."""

    def __init__(self, *sections: Any) -> None:
        self._by_class: dict[type, Any] = {type(item): item for item in sections}

    def get(self, cls: type[S]) -> S:
        """Returns the section of that class, with its defaults if it was absent."""
        if cls not in self._by_class:
            self._by_class[cls] = cls()
        return self._by_class[cls]


REQUIRED_SECTIONS = ("instance", "store", "listen")


def parse_settings(file: str, text: str) -> Result[Settings, list[Error]]:
    """Parses and checks an instance's whole settings file.

    :param file: the file's name, for error messages.
    :returns: the settings, or every error found.
    """
    match read_ini(file, text):
        case Failure() as failure:
            return failure
        case Success(texts_by_section):
            pass
    errors: list[Error] = []
    sections = []
    for name, texts_by_option in texts_by_section.items():
        if name not in SECTIONS:
            detail = f"{file}: [{name}]: unknown section{suggest(name, SECTIONS)}"
            errors.append(Error(ErrorKind.INVALID_SETTINGS, detail))
            continue
        match parse_section(SECTIONS.get(name), file, name, texts_by_option):
            case Success(value):
                sections.append(value)
            case Failure(section_errors):
                errors.extend(section_errors)
    for name in REQUIRED_SECTIONS:
        if name not in texts_by_section:
            detail = f"{file}: [{name}]: missing section"
            errors.append(Error(ErrorKind.INVALID_SETTINGS, detail))
    return Failure(errors) if errors else Success(Settings(*sections))
