#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
exec env TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
