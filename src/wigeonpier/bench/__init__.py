"""Stand-ins, load and experiments."""
