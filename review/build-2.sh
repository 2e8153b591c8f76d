#!/bin/sh
# Builds what the scripts of the second review start beside the program. The stand-ins
# are Python modules of this repository; they need only the libraries of the deploy
# file's build, which has run before.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD/review" \
    python3 -c "import harness_2"
