#!/bin/sh
# Exit 1: BUDGET was broken; 0: it held; 2: could not run.
exec python3 "$(dirname "$0")/case.py"
