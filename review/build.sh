#!/bin/sh
# The stand-ins are Python files of the standard library: check that they compile.
cd "$(dirname "$0")" && exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
