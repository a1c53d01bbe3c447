"""Stand-ins for the systems outside: the platform and the targets."""
