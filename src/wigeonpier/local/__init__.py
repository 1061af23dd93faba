"""The local process, which runs next to each upstream."""
