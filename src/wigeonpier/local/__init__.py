"""The process beside an upstream."""
