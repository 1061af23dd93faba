"""Settings of randomised runs: the same cases in each run."""

from __future__ import annotations

import os

from hypothesis import settings

os.environ.setdefault('WIGEONPIER_STRICT', '1')
settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
)
settings.load_profile(os.environ.get('WIGEONPIER_HYPOTHESIS', 'ci'))
