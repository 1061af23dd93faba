"""Starts the entry process."""

from __future__ import annotations

import sys

from wigeonpier.entry.app import PROGRAM, build_entry
from wigeonpier.process import run_program
from wigeonpier.settings.process import EntrySettings


def main() -> int:
    """Run an entry process until a signal stops it.

    :returns: exit status.
    """
    return run_program(PROGRAM, EntrySettings, build_entry)


if __name__ == '__main__':
    sys.exit(main())
