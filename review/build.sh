#!/bin/sh
# Builds the stand-ins that the scripts start: checks that they compile. They need the standard
# library only and run inside the process of each script.
set -e
cd "$(dirname "$0")"
for file in standin.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
