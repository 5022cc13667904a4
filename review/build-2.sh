#!/bin/sh
# The stand-ins of review/4 to review/8 need the standard library only; this
# checks that they compile. Nothing is written.
set -e
cd "$(dirname "$0")"
for file in kit2/fleet.py [4-8]/case.py; do
  python3 -B -c 'import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
