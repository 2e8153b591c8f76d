"""Tests of the error kinds and their responses."""

from cicadacourse.errors import RESPONSES_BY_KIND, Error, ErrorKind, Execution


def test_every_kind_has_a_response():
    assert set(RESPONSES_BY_KIND) == set(ErrorKind)


def test_json_form_says_that_a_request_may_have_run():
    error = Error(ErrorKind.TIMED_OUT, execution=Execution.UNKNOWN)
    assert error.to_json()["run"] == "unknown"
