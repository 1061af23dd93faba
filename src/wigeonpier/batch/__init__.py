"""Batch jobs: files, chunks, journals, results."""
