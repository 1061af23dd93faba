"""The process on an entry VM."""
