"""Tests of the generated reference pages."""

import pytest

from bench.reference import main
from cicadacourse.metrics import HELP_BY_NAME, declare


def test_reference_pages_are_up_to_date():
    assert main(["--check"]) == 0


def test_a_metric_is_declared_in_one_place():
    """Otherwise the metrics page depends on which declaration is imported last."""
    declare("test_total", "Counts tests.")
    with pytest.raises(ValueError, match="declared twice"):
        declare("test_total", "Counts something else.")
    del HELP_BY_NAME["test_total"]
