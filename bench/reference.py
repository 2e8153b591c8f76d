"""Writes the operators' reference pages from the declarations in the code."""

from __future__ import annotations

import argparse
import importlib
import pathlib
import pkgutil
import sys
from typing import Any

import attrs

import cicadacourse
from cicadacourse.config import SECTIONS, options_by_name
from cicadacourse.errors import RESPONSES_BY_KIND
from cicadacourse.metrics import HELP_BY_NAME
from cicadacourse.tables import ROW_CLASS_BY_SECTION

FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "operators"
NOTE = "Written by `make reference` from the code; do not edit.\n"


def import_everything() -> None:
    """Imports every module of the package, so that all declarations are registered."""
    for module in pkgutil.walk_packages(cicadacourse.__path__, "cicadacourse."):
        if module.name != "cicadacourse.__main__":
            importlib.import_module(module.name)


def render_options(title: str, cls: type) -> list[str]:
    """Returns the heading and the table of one section, line by line."""
    lines = [f"## `[{title}]`", "", "| option | expected | unit | default | |"]
    lines.append("| --- | --- | --- | --- | --- |")
    for name, (spec, default) in options_by_name(cls).items():
        expected = spec.expected + _render_bounds(spec.minimum, spec.maximum)
        shown = _render_default(default)
        cells = [f"`{name}`", expected, spec.unit, shown, spec.help]
        lines.append(f"| {' | '.join(cells)} |")
    return [*lines, ""]


def _render_bounds(minimum: float | None, maximum: float | None) -> str:
    if minimum is None and maximum is None:
        return ""
    low = "" if minimum is None else f" from {minimum:g}"
    high = "" if maximum is None else f" to {maximum:g}"
    return f",{low}{high}"


def _render_default(default: Any) -> str:
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, bool):
        return "`yes`" if default else "`no`"
    return f"`{default}`" if default != "" else "empty"


def render_settings() -> str:
    """Returns the page with every setting of an instance."""
    lines = ["# Settings of an instance", "", NOTE]
    for name in SECTIONS:
        lines += render_options(name, SECTIONS.get(name))
    return "\n".join(lines)


def render_tables() -> str:
    """Returns the page with every option of the tables."""
    lines = ["# Options of the tables", "", NOTE]
    for section, cls in ROW_CLASS_BY_SECTION.items():
        lines += render_options(section, cls)
    return "\n".join(lines)


def render_metrics() -> str:
    """Returns the page with every metric."""
    lines = ["# Metrics", "", NOTE, "| metric | |", "| --- | --- |"]
    for name in sorted(HELP_BY_NAME):
        lines.append(f"| `cicadacourse_{name}` | {HELP_BY_NAME[name]} |")
    return "\n".join([*lines, ""])


def render_errors() -> str:
    """Returns the page with every error kind and its HTTP response."""
    lines = ["# Error kinds and answers", "", NOTE]
    lines += ["| kind | HTTP status | run | trying again can help |"]
    lines += ["| --- | --- | --- | --- |"]
    for kind, response in RESPONSES_BY_KIND.items():
        retry = "yes" if response.is_retryable else "no"
        row = (
            f"| `{kind.value}` | {response.status} "
            f"| {response.execution.value} | {retry} |"
        )
        lines.append(row)
    return "\n".join([*lines, ""])


RENDERERS_BY_PAGE = {
    "settings.md": render_settings,
    "table-options.md": render_tables,
    "metrics.md": render_metrics,
    "errors.md": render_errors,
}


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check", action="store_true", help="compare the pages without writing them"
    )
    return parser


def main(argv: list[str]) -> int:
    """Writes the pages; with ``--check`` returns 1 if one is out of date."""
    arguments = get_parser().parse_args(argv)
    import_everything()
    stale = []
    for page, render in RENDERERS_BY_PAGE.items():
        path = FOLDER / page
        text = render()
        if not path.exists() or path.read_text() != text:
            stale.append(page)
            if not arguments.check:
                path.write_text(text)
    if arguments.check and stale:
        print(f"out of date, run make reference: {', '.join(stale)}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
