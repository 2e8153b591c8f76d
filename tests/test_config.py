"""Tests of the settings' parser."""

import pytest
from returns.result import Failure

from cicadacourse.config import InstanceSettings, parse_settings

VALID = """
[instance]
name = e1
failure_domain = a
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7101
[store]
address = 127.0.0.1:7201
[listen]
ready_address = 127.0.0.1:7202
directory_address = 127.0.0.1:7203
"""


def test_valid_settings_are_parsed():
    settings = parse_settings("e1.ini", VALID).unwrap()
    assert settings.get(InstanceSettings).name == "e1"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (("name = e1", "nme = e1"), "unknown option; did you mean 'name'?"),
        (("127.0.0.1:7001", "localhost:7001"), "expected an IP address and a port"),
        (("127.0.0.1:7001", "127.0.0.1:70010"), "expected an IP address and a port"),
        (("[listen]", "[lisen]"), "unknown section; did you mean 'listen'?"),
        (("failure_domain = a", ""), "missing; expected a name"),
    ],
)
def test_error_names_the_file_the_section_the_option_and_what_is_expected(
    change, message
):
    result = parse_settings("e1.ini", VALID.replace(*change))
    assert isinstance(result, Failure)
    assert any(
        message in error.detail and "e1.ini: [" in error.detail
        for error in result.failure()
    )
