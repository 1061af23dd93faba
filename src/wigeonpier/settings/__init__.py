"""Settings of a process and the deployment's configuration."""
