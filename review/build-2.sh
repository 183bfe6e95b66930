#!/bin/bash
# Builds every stand-in that a script of the cases 6 to 10 starts.  They are
# threads of review/stand_ins_2/deployment.py, which needs no build; it is only
# checked here, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
import glob

for name in ["review/stand_ins_2/deployment.py"] + sorted(
        glob.glob("review/[6-9]/case.py") + glob.glob("review/10/case.py")):
    with open(name) as file:
        ast.parse(file.read(), name)
P
test -x target/parsleyspur
