"""Tracks the live processes and the messages between them."""
