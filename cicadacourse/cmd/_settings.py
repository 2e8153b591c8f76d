"""Reads the files given to commands; the errors name the file."""

from __future__ import annotations

import pathlib

from returns.result import Failure, Result, Success

from cicadacourse.config import Settings, parse_settings
from cicadacourse.errors import Error, ErrorKind


def read_text(path: pathlib.Path) -> Result[str, list[Error]]:
    """Returns a file's text, or why it can't be read."""
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Error(ErrorKind.INVALID_SETTINGS, f"{path}: {error}")])


def read_settings(path: pathlib.Path) -> Result[Settings, list[Error]]:
    """Returns an instance's settings, or every error found.

    The packages that declare the sections must have been imported.
    """
    return read_text(path).bind(lambda text: parse_settings(str(path), text))
