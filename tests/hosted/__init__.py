"""Tests of the daemons on the users' platform."""
