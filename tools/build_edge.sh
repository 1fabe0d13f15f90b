#!/bin/sh
# Install the libraries of an edge VM under target/deps, unless they are there.
#
# A marker, written last, names processor type, Python version and
# requirements. The folder is replaced whole, so that a cut-off or failed
# installation, an older one, or one of another machine is never used.
set -eu

requirements=requirements-edge.txt
deps=target/deps
new="target/deps.new.$$"
old="target/deps.old.$$"

wanted="$(python3 -c 'import sys, sysconfig
print(sysconfig.get_platform(), sys.implementation.cache_tag)') $(cksum <"$requirements")"

is_built() {
    [ "$(cat "$deps/.built" 2>/dev/null)" = "$wanted" ]
}

if is_built; then
    exit 0
fi
trap 'rm -rf "$new" "$old"' EXIT
trap 'exit 1' HUP INT TERM
mkdir -p target
python3 -m pip install -q --target "$new" -r "$requirements"
printf '%s\n' "$wanted" >"$new/.built"
if [ -e "$deps" ]; then
    mv "$deps" "$old"
fi
# Without -T an existing folder, of a build at the same time, would get it inside.
mv -T "$new" "$deps" || is_built
