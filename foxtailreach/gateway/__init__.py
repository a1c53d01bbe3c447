"""Tasks that own sockets: callers, targets, peers and the platform."""
