#!/bin/sh
# The stand-ins are Python programs without dependencies; this checks that they can run.
set -eu
cd "$(dirname "$0")"
python3 - common/harness.py [0-9]*/case.py <<'CHECK'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is required"
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
echo "stand-ins are ready"
