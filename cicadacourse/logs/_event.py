"""One kind of log line, and the function that logs it."""

from __future__ import annotations

from typing import Any

import attrs
import logbook

from cicadacourse.util.logging import get_logger

EVENTS_BY_TEXT: dict[str, LogEvent] = {}
_logger_by_part: dict[str, logbook.Logger] = {}


@attrs.frozen
class LogEvent:
    """One kind of log line.

    :param text: the fixed text of the field ``event``.
    :param part: the part of the instance that logs it.
    :param help: when it is logged and what its fields hold.
    :param is_warning: whether it has the level warning, which has a higher limit
        of lines per flush period.
    """

    text: str
    part: str
    help: str
    is_warning: bool = False


def log(event: LogEvent, **fields: Any) -> None:
    """Logs one line with its fields; never blocks."""
    logger = _logger_by_part.get(event.part)
    if logger is None:
        logger = _logger_by_part[event.part] = get_logger(event.part)
    write = logger.warning if event.is_warning else logger.info
    write(event.text, extra=fields)


def declare(part: str, text: str, help: str, is_warning: bool = False) -> LogEvent:
    """Declares and returns one kind of log line; see :class:`LogEvent`."""
    event = EVENTS_BY_TEXT[text] = LogEvent(text, part, help, is_warning)
    return event
