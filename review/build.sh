#!/bin/sh
# Builds every stand-in that a script starts: they are Python 3 programs, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -B - lib/*.py */case.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
print("checked", len(sys.argv) - 1, "files")
PY
