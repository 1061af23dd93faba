"""Runs the features concurrently, each in a separate process."""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FEATURES = Path(__file__).parent / 'features'
KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'
FAILED_SCENARIO = re.compile(
    r'^  tests/features/\S+\.feature:\d+  (.+)$',
    re.MULTILINE,
)
# Scenarios mostly wait; a higher number would make them compete for CPU.
MAX_CONCURRENT = 4
COMMAND = (sys.executable, '-m', 'behave', '--format', 'progress2')


def run_feature(path: Path) -> subprocess.CompletedProcess[str]:
    """Run one feature.

    :param path: feature file.
    :returns: exit status and output.
    """
    return subprocess.run(
        (*COMMAND, '--no-capture', str(path)),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )


def list_known_red() -> set[str]:
    """List the tests and scenarios that are known to fail.

    :returns: their names.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {line.partition(' | ')[0] for line in lines if line}


def find_unexpected(output: str, known: set[str]) -> list[str]:
    """Find failed scenarios that are not known to fail.

    :param output: output of a failed run.
    :param known: names of scenarios that are known to fail.
    :returns: their names, or a placeholder if the output names no scenario.
    """
    failed = FAILED_SCENARIO.findall(output)
    unexpected = [name for name in failed if name not in known]
    return unexpected if failed else ['a run that names no scenario']


def main() -> int:
    """Run all features.

    :returns: 1 if a feature failed unexpectedly or none was found.
    """
    paths = sorted(
        FEATURES.glob('*.feature'),
        key=lambda path: -path.stat().st_size,
    )
    with ThreadPoolExecutor(MAX_CONCURRENT) as pool:
        runs = list(pool.map(run_feature, paths))
    for path, run in zip(paths, runs, strict=True):
        sys.stdout.write(f'== {path.name}: exit {run.returncode}\n{run.stdout}')
    known = list_known_red()
    sys.stdout.writelines(f'known red: {name}\n' for name in sorted(known))
    failed = [
        name
        for run in runs
        if run.returncode
        for name in find_unexpected(run.stdout, known)
    ]
    sys.stdout.write(f'{len(runs)} features, failed: {failed}\n')
    return int(bool(failed) or not runs)


if __name__ == '__main__':
    sys.exit(main())
