#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs
# that need the standard library only, so they are checked, not compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - second/harness.py [0-9]*/case.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
