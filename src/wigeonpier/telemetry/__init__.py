"""Logs, traces and metrics."""
