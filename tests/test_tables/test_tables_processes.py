"""Tests of tables in force over real processes; outcomes are asserted, not times."""

import json

from bench.fleet import FAILURE_DOMAINS, running_fleet, wait_for_http
from cicadacourse.cmd import main
from tests.test_tables.test_tables_parser import POOLS, ROUTES


def publish(fleet, base, capsys):
    for name, text in (("routes", ROUTES), ("pools", POOLS)):
        (fleet.folder / f"{name}.ini").write_text(text)
    tables = [f"{fleet.folder}/routes.ini", "--pools", f"{fleet.folder}/pools.ini"]
    argv = ["publish", "--log-address", fleet.log_address, "--routes", *tables]
    entries = [fleet.programs_by_name[name].address for name in ("e1", "e2", "e3")]
    argv += ["--base", str(base), "--wait", "--instances", ",".join(entries)]
    status = main([*argv, "--timeout-s", "60", "--json"])
    return status, json.loads(capsys.readouterr().out)


def test_a_newcomer_is_ready_by_its_peers_while_the_log_is_frozen(capsys):
    with running_fleet() as fleet:
        fleet.start_platform()
        for index, domain in enumerate(FAILURE_DOMAINS):
            fleet.start_entry(f"e{index + 1}", domain)
        status, printed = publish(fleet, 0, capsys)
        assert (status, printed["in_force"]) == (0, ["e1", "e2", "e3"])
        fleet.programs_by_name["log"].freeze()
        newcomer = fleet.start_entry("e4", FAILURE_DOMAINS[0])
        wait_for_http(newcomer.address, "/ready")
        fleet.programs_by_name["log"].thaw()
        fleet.programs_by_name["e2"].kill()
        status, printed = publish(fleet, printed["version"], capsys)
        assert (status, printed["in_force"]) == (0, ["e1", "e3", "e4"])
