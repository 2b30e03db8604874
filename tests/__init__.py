"""Tests of azurecleat.

Makes the package ``adapter`` importable, which lies in ``platform/`` and is not installed.
"""

import sys
from pathlib import Path

ADAPTER_FOLDER = Path(__file__).resolve().parents[1] / "platform"
if str(ADAPTER_FOLDER) not in sys.path:
    sys.path.append(str(ADAPTER_FOLDER))
