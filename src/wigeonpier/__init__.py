"""Online and batch inference served on one fleet."""
