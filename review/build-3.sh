#!/usr/bin/env bash
# Checks what the scripts of review 3 start: the stand-ins are Python, so nothing is compiled.
# The libraries are those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'P'
import pathlib
import sys

sys.path[:0] = ["review", "."]
for path in [pathlib.Path("review/harness_3.py"), *pathlib.Path("review").glob("1[1-5]/*.py")]:
    compile(path.read_text(), str(path), "exec")
import harness_3
import standins.callers
import standins.platform

print("stand-ins are there:", harness_3.deploy_command())
P
