#!/bin/sh
# The stand-ins are plain Python files that need no build and no library. This compiles
# them once, to fail early if one is malformed.
cd "$(dirname "$0")" && exec python3 -m py_compile standins.py */case.py
