"""Functions that commands share: running a coroutine, printing tables and JSON."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Coroutine, Mapping, Sequence, TypeVar

from cicadacourse.util.clock import BoottimeEventLoop

T = TypeVar("T")

_COLUMN_SEPARATOR = "  "


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on a new event loop and returns its result."""
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(coroutine)


def print_json(value: Any) -> None:
    """Prints a value as one line of JSON."""
    print(json.dumps(value, sort_keys=True))


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Returns the rows as text, in aligned columns under the column names.

    >>> print(format_table([{"name": "e1", "state": "alive"}]))
    name  state
    e1    alive
    """
    columns = list(dict.fromkeys(name for row in rows for name in row))
    lines = [
        columns,
        *([_format_cell(row.get(name)) for name in columns] for row in rows),
    ]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return str(value)
