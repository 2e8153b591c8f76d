"""What the commands share: running a coroutine, and printing tables and JSON."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Coroutine, Mapping, Sequence, TypeVar

from cicadacourse.util.clock import BoottimeEventLoop

T = TypeVar("T")

_GAP = "  "


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine on an event loop of its own."""
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(coroutine)


def print_json(value: Any) -> None:
    """Prints one line of JSON."""
    print(json.dumps(value, sort_keys=True))


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Returns rows in aligned columns under their names.

    >>> print(format_table([{"name": "e1", "state": "alive"}]))
    name  state
    e1    alive
    """
    columns = list(dict.fromkeys(name for row in rows for name in row))
    lines = [columns, *([_format(row.get(name)) for name in columns] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        _GAP.join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


def _format(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return str(value)
