"""Tasks that own sockets and carry out the effects of a node."""
