"""Interfaces to the platform: key-value service, messages and headers."""
