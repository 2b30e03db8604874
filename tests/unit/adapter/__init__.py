"""Tests of the adapter to the users' platform; its package lies under ``platform/``."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parents[3] / "platform"
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
