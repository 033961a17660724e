#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python programs that use the standard
# library alone, so there is nothing to build but the check that they can be compiled.
set -e
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in tools2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
