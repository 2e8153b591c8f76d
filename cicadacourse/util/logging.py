"""Loggers with a fixed prefix per part."""

from __future__ import annotations

import sys

import logbook

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "[{record.channel}] {record.message}"
)


def get_logger(part: str) -> logbook.Logger:
    """Returns the logger of one part; the part's name prefixes each line."""
    return logbook.Logger(part)


def set_up_logging(level: str) -> None:
    """Sends the log of the whole process to standard error.

    :param level: the lowest level that is written, such as ``INFO``.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=FORMAT
    )
    handler.push_application()
