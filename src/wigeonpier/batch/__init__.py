"""Batch jobs: their files, chunks, journals and results."""
