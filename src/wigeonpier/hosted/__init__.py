"""The daemons as they run on the users' platform."""
