"""Engines of the experiments."""

from __future__ import annotations

from typing import Final

from wigeonpier.bench.batching import EngineShape

MIX_STEP: Final = 0.018
MIX_STREAM: Final = 0.001
MIX_PREFILL: Final = 0.0001
SOAK_STEP: Final = 0.01
SOAK_STREAM: Final = 0.0005

MIX = EngineShape(MIX_STEP, MIX_STREAM, MIX_PREFILL)
SOAK = EngineShape(SOAK_STEP, SOAK_STREAM)
