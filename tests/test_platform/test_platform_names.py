"""Tests where the platform's names may occur, and that operators' pages are complete.

Only the adapter may use the platform's names; each log event and metric is documented.
"""

from __future__ import annotations

import pathlib
import re

from cicadacourse.cmd._services import import_services
from cicadacourse.logs import EVENTS_BY_TEXT
from cicadacourse.metrics import HELP_BY_NAME
from cicadacourse.platform import _names

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "cicadacourse"
ADAPTER = PACKAGE / "platform"
# Field names of the platform's JSON that only the adapter may use.
FIELD_NAMES = (
    "pathPrefix",
    "trafficSplit",
    "targetLatencyMs",
    "gapTargetMs",
    "maxAttempts",
    "apiKeys",
    "healthPath",
    "coldLeftMs",
    "kvTokens",
    "holdMs",
    "waitMs",
    "hasMore",
    "draining",
)


def _sources() -> list[pathlib.Path]:
    return [path for path in PACKAGE.rglob("*.py") if ADAPTER not in path.parents]


def test_only_the_adapter_uses_the_platforms_names() -> None:
    names = [
        value
        for name, value in vars(_names).items()
        if name.startswith(("HEADER_", "PATH_", "TOPIC_"))
        and value not in ("Last-Event-Id", "At-Server")
    ]
    for path in _sources():
        text = path.read_text()
        for name in (*names, *FIELD_NAMES):
            found = re.search(rf"""["']{re.escape(name)}["']""", text)
            assert not found, f"{path.name} contains {name}"


def test_every_log_line_and_metric_is_documented_for_operators() -> None:
    import_services()
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for text, event in EVENTS_BY_TEXT.items():
        assert f"`{text}`" in page, text
        assert event.help in page, text
    metrics = _declared_metrics()
    assert metrics <= HELP_BY_NAME.keys()
    for name in metrics:
        assert f"`cicadacourse_{name}`" in page, name


def _declared_metrics() -> set[str]:
    found: set[str] = set()
    for family in (
        "gateway",
        "eligibility",
        "evidence",
        "limits",
        "quarantine",
        "load",
        "placement",
        "platform",
        "reservations",
        "catalog",
    ):
        for path in (PACKAGE / family).rglob("*.py"):
            found |= set(re.findall(r"""declare\(\s*"([a-z_]+)",""", path.read_text()))
    return found
