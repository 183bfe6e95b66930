#!/bin/bash
# Builds every stand-in that a script of the cases starts.  They are threads of
# review/stand_ins/fleet.py, which needs no build; it is only checked here, and
# that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
for name in ("stand_ins/fleet.py", "3/case.py"):
    with open("review/" + name) as file:
        ast.parse(file.read(), name)
P
test -x target/parsleyspur
