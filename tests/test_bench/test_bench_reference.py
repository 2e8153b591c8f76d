"""Tests of the operators' reference pages."""

from bench.reference import main


def test_reference_pages_are_up_to_date():
    assert main(["--check"]) == 0
