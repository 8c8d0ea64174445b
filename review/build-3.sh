#!/bin/sh
# The stand-ins of the cases in review/11 to review/15 are Python programs without dependencies; this checks that
# they can run.
set -eu
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/case.py <<'CHECK'
import os
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is required"
for path in filter(os.path.exists, sys.argv[1:]):
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
echo "stand-ins are ready"
