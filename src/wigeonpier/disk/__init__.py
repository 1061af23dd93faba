"""Bulk data in data folders."""
