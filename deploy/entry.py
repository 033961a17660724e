"""Run the entry daemon from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from camphoryard.entry.daemon import main

if __name__ == "__main__":
    main()
