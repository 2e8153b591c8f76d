"""A test of a frozen holder, with processes and a real pause."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import urllib.request

from bench.fleet import running_fleet

TIMEOUT_S = 90
WATCH_S = 3
SHORT_LEASES = """
[orders]
lease_s = 3
renew_s = 0.5
margin_s = 0.5
order_timeout_s = 1
check_s = 0.3
log_timeout_s = 1
"""


def get_json(program, path):
    url = f"http://{program.address}{path}"
    with urllib.request.urlopen(url, timeout=10) as answer:
        return json.loads(answer.read())


def publish(fleet, role):
    routes = fleet.folder / "routes.ini"
    pools = fleet.folder / "pools.ini"
    routes.write_text("[route question]\npool = chat\n")
    pools.write_text(f"[pool chat]\ngroup = g\nrole = {role}\n")
    command = [sys.executable, "-m", "cicadacourse", "publish", "--base", "any"]
    command += ["--log-address", fleet.log_address]
    command += ["--routes", str(routes), "--pools", str(pools)]
    subprocess.run(command, check=True, timeout=TIMEOUT_S)


def wait_for_role(engine, role):
    stop = time.monotonic() + TIMEOUT_S
    while get_json(engine, "/state")["role"] != role:
        assert time.monotonic() < stop
        time.sleep(0.05)


def test_a_frozen_holder_reverts_nothing_when_it_goes_on():
    with running_fleet() as fleet:
        fleet.start_platform()
        engine = fleet.start_endpoint("engine", "engine-0", "g", "a", "--no-fencing")
        entries = [fleet.start_entry(f"entry-{i}", "a", SHORT_LEASES) for i in range(3)]
        publish(fleet, "prefill")
        wait_for_role(engine, "prefill")
        (lease,) = get_json(entries[0], "/v1/status")["leases"]
        holder = fleet.programs_by_name[lease["holder"].partition("/")[0]]
        holder.freeze()
        publish(fleet, "decode")
        wait_for_role(engine, "decode")
        holder.thaw()
        stop = time.monotonic() + WATCH_S
        while time.monotonic() < stop:
            assert get_json(engine, "/state")["role"] == "decode"
