"""Run the tool as ``python -m camphoryard.cli``."""

from camphoryard.cli import main

if __name__ == "__main__":
    main()
