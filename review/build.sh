#!/bin/sh
# Builds what the scripts start. All stand-ins are in standin.py and the case
# files, which need the standard library alone; this only compiles them.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
