"""Makes the modules of `platform/` importable by the names that its processes use."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parents[2] / "platform"
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
