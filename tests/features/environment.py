"""Sets up and checks each scenario."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from gevent import monkey

monkey.patch_all()

os.environ['WIGEONPIER_STRICT'] = '1'
sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.builders import Bench  # noqa: E402
from wigeonpier.invariants import violations  # noqa: E402
from wigeonpier.telemetry.logs import configure_logs  # noqa: E402

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context


def before_all(_context: Context) -> None:
    """Keep logs out of the reports."""
    configure_logs('tests', os.environ.get('WIGEONPIER_TEST_LOG', 'critical'))


def before_scenario(context: Context, _scenario: Scenario) -> None:
    """Create a new bench for the scenario."""
    violations.clear()
    context.bench = Bench()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the site and fail if an invariant was violated."""
    context.bench.close()
    if not getattr(context, 'expects_violation', False):
        assert not violations, f'{scenario.name}: {dict(violations)}'
