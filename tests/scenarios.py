"""Runs the features side by side, each in a process of its own."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FEATURES = Path(__file__).parent / 'features'
# Scenarios mostly wait; more of them at once would press for processors.
AT_ONCE = 4
COMMAND = (sys.executable, '-m', 'behave', '--format', 'progress2')


def run_feature(path: Path) -> subprocess.CompletedProcess[str]:
    """Run one feature.

    :param path: its file.
    :returns: how it ended, with what it printed.
    """
    return subprocess.run(
        (*COMMAND, '--no-capture', str(path)),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )


def main() -> int:
    """Run all features.

    :returns: 1 where any of them failed, or none was found.
    """
    paths = sorted(
        FEATURES.glob('*.feature'),
        key=lambda path: -path.stat().st_size,
    )
    with ThreadPoolExecutor(AT_ONCE) as pool:
        ended = list(pool.map(run_feature, paths))
    for path, run in zip(paths, ended, strict=True):
        sys.stdout.write(f'== {path.name}: exit {run.returncode}\n{run.stdout}')
    failed = [run for run in ended if run.returncode]
    sys.stdout.write(f'{len(ended)} features, {len(failed)} failed\n')
    return int(bool(failed) or not ended)


if __name__ == '__main__':
    sys.exit(main())
