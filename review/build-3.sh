#!/bin/sh
# Check the stand-ins of review/11 to review/15. They need nothing but Python's
# standard library, and are not compiled to files.
set -eu
cd "$(dirname "$0")/.."
for file in review/kit3.py review/servers3.py review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
