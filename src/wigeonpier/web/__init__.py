"""HTTP plumbing that both daemons share."""
