"""Tests of azurecleat. The adapter's package lies under ``platform/``, outside the workspace."""

import sys
from pathlib import Path

ADAPTER_FOLDER = Path(__file__).resolve().parents[1] / "platform"
if str(ADAPTER_FOLDER) not in sys.path:
    sys.path.append(str(ADAPTER_FOLDER))
