"""Tests, laid out like the sources."""
