"""Tests of the closed list of error kinds."""

from cicadacourse.errors import RESPONSES_BY_KIND, Error, ErrorKind, Execution


def test_every_kind_has_an_answer():
    assert set(RESPONSES_BY_KIND) == set(ErrorKind)


def test_an_error_that_may_have_run_says_so():
    error = Error(ErrorKind.TIMED_OUT, execution=Execution.UNKNOWN)
    assert error.to_json()["run"] == "unknown"
