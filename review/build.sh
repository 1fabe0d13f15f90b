#!/bin/sh
# The stand-ins use only Python's standard library, so nothing is compiled;
# this checks that each of them can be read, and that the build of the deploy
# file has put the libraries of the VMs in place.
set -eu
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo 'run the build of the deploy file first' >&2; exit 1; }
for file in standins.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
