"""Ports and adapters of the platform."""
