"""Tests of ``cicadacourse check``."""

import json

import pytest

from cicadacourse.cmd import main
from tests.test_config import VALID
from tests.test_tables.test_tables_parser import ORGANISATIONS, POOLS, ROUTES


@pytest.fixture
def files(tmp_path):
    texts = {
        "e": VALID,
        "routes": ROUTES,
        "pools": POOLS,
        "organisations": ORGANISATIONS,
    }
    for name, text in texts.items():
        (tmp_path / f"{name}.ini").write_text(text)
    return tmp_path


def run_check(files, *more):
    names = ("routes", "pools", "organisations")
    tables = [text for name in names for text in (f"--{name}", f"{files}/{name}.ini")]
    return main(["check", f"{files}/e.ini", *tables, *more])


def test_valid_files_exit_with_0(files, capsys):
    assert run_check(files) == 0
    assert capsys.readouterr().out == "all valid\n"


def test_every_error_is_printed_and_the_exit_status_is_1(files, capsys):
    (files / "e.ini").write_text(VALID + "[memberships]\n")
    (files / "routes.ini").write_text(ROUTES.replace("= big", "= bag"))
    assert run_check(files, "--json") == 1
    printed = json.loads(capsys.readouterr().out)
    settings_error, tables_error = printed["errors"]
    assert settings_error.endswith("unknown section; did you mean 'membership'?")
    assert tables_error.startswith(f"{files}/routes.ini: [route ask] pool = 'bag'")


@pytest.mark.parametrize("name", ["e", "pools"])
def test_error_names_a_missing_file(files, capsys, name):
    (files / f"{name}.ini").unlink()
    assert run_check(files) == 1
    assert f"{files}/{name}.ini" in capsys.readouterr().out


def test_error_of_a_wrong_address_argument_says_what_is_expected(capsys):
    with pytest.raises(SystemExit):
        main(["show", "--instances", "somewhere"])
    assert "expected IP addresses with ports" in capsys.readouterr().err
