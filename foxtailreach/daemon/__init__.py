"""The host process: sockets, timers and clients around a node."""
