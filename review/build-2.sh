#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are plain Python, so this only checks them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - standin_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'P'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in map(Path, sys.argv[1:]):
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
