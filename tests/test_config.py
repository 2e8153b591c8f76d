"""Tests of the settings' parser."""

import pytest
from returns.result import Failure

from cicadacourse.cmd._services import import_services
from cicadacourse.config import LOG_LEVELS, InstanceSettings, parse_settings
from cicadacourse.util.logging import JsonHandler

import_services()

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


@pytest.mark.parametrize("level", LOG_LEVELS + ("INFO", "Warning"))
def test_each_log_level_is_accepted_by_the_log(level):
    text = VALID.replace("name = e1", f"name = e1\nlog_level = {level}")
    settings = parse_settings("e1.ini", text).unwrap()
    parsed = settings.get(InstanceSettings).log_level
    assert JsonHandler(None, parsed).level_name.lower() == level.lower()


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (("name = e1", "nme = e1"), "unknown option; did you mean 'name'?"),
        (("127.0.0.1:7001", "localhost:7001"), "expected an IP address and a port"),
        (("127.0.0.1:7001", "127.0.0.1:70010"), "expected an IP address and a port"),
        (("[listen]", "[lisen]"), "unknown section; did you mean 'listen'?"),
        (("failure_domain = a", ""), "missing; expected a name"),
        (
            ("name = e1", "name = e1\nlog_level = INF"),
            "e1.ini: [instance] log_level = 'INF': expected critical, error, warning,"
            " notice, info, debug or trace",
        ),
        (
            ("name = e1", "name = e1\nlog_level = 3"),
            "log_level = '3': expected critical",
        ),
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
