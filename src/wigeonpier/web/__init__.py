"""HTTP client and server code shared by both daemons."""
