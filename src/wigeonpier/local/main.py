"""Starts the local process."""

from __future__ import annotations

import sys

from wigeonpier.local.app import PROGRAM, build_local
from wigeonpier.process import run_program
from wigeonpier.settings.process import LocalSettings


def main() -> int:
    """Run a local process until it is stopped.

    :returns: exit status.
    """
    return run_program(PROGRAM, LocalSettings, build_local)


if __name__ == '__main__':
    sys.exit(main())
