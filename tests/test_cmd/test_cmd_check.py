"""Tests of ``cicadacourse check``."""

import json

import pytest

from cicadacourse.cmd import main
from tests.test_config import VALID
from tests.test_tables.test_tables_parser import POOLS, ROUTES


@pytest.fixture
def files(tmp_path):
    for name, text in (("e", VALID), ("routes", ROUTES), ("pools", POOLS)):
        (tmp_path / f"{name}.ini").write_text(text)
    return tmp_path


def run_check(files, *more):
    tables = ["--routes", f"{files}/routes.ini", "--pools", f"{files}/pools.ini"]
    return main(["check", f"{files}/e.ini", *tables, *more])


def test_valid_files_exit_0(files, capsys):
    assert run_check(files) == 0
    assert capsys.readouterr().out == "all valid\n"


def test_every_error_is_printed_and_exits_1(files, capsys):
    (files / "e.ini").write_text(VALID + "[tabels]\n")
    (files / "routes.ini").write_text(ROUTES.replace("big", "bag"))
    assert run_check(files, "--json") == 1
    printed = json.loads(capsys.readouterr().out)
    settings_error, tables_error = printed["errors"]
    assert settings_error.endswith("unknown section; did you mean 'tables'?")
    assert tables_error.startswith(f"{files}/routes.ini: [route ask] pool = 'bag'")


def test_a_missing_file_is_named(files, capsys):
    (files / "e.ini").unlink()
    assert run_check(files) == 1
    assert f"{files}/e.ini" in capsys.readouterr().out


def test_an_unknown_policy_is_an_error(files, capsys):
    (files / "pools.ini").write_text(POOLS + "policy = defualt\n")
    assert run_check(files) == 1
    expected = "policy = 'defualt': expected a routing policy; did you mean 'default'?"
    assert expected in capsys.readouterr().out


def test_a_wrong_address_argument_names_what_was_expected(capsys):
    with pytest.raises(SystemExit):
        main(["show", "--instances", "somewhere"])
    assert "expected IP numbers with ports" in capsys.readouterr().err
