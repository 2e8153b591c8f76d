#!/bin/sh
# The stand-ins are plain Python files that need no build and no library. This parses
# them once, to fail early if one is malformed; it leaves no file.
cd "$(dirname "$0")" || exit 1
for file in */*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
