"""Run the command line with ``python -m acaciaramp``."""

from __future__ import annotations

from acaciaramp.cmd.main import main

if __name__ == '__main__':
    main()
