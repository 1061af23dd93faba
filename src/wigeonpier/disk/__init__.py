"""Bulk data under one data folder."""
