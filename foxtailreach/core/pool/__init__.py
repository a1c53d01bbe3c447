"""State and policy of one pool: the targets of a service in one domain."""
