"""Storage of the requests that are no longer run."""
