"""Commands: they change something outside this process."""
