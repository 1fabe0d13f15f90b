#!/bin/sh
# Exit 1: an unsafe request ran twice; 0: none did; 2: could not run.
exec python3 "$(dirname "$0")/case.py"
